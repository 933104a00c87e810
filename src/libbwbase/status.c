#include "bwbase/status.h"

const char *const bw_status_string[BW_STATUS_COUNT] = {
	[BW_OK] = "ok",
	[BW_EINVAL] = "invalid",
	[BW_ENOMEM] = "out_of_memory",
	[BW_EAGAIN] = "again",
	[BW_EFULL] = "full",
	[BW_ESTALE] = "stale",
	[BW_ECONFLICT] = "conflict",
	[BW_ENOTFOUND] = "not_found",
	[BW_EEXIST] = "exists",
	[BW_EIO] = "io_error",
	[BW_ECORRUPT] = "corrupt",
	[BW_EUNAVAILABLE] = "unavailable",
	[BW_EDENIED] = "denied",
	[BW_EVERSION] = "unknown_version",
};
