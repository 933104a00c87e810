/*
 * A backend server leaves; then all control hosts and one of two entry hosts
 * are killed at once and started again within a second, and a heartbeat that
 * the server sent before it left arrives late.
 */
#include <signal.h>
#include <stdio.h>

#include "rig.h"

/** The control hosts and the first entry host. */
#define KILLED_PROCESSES (RIG_CONTROLS + 1)
#define DRAIN_MS 2500
#define SETTLE_MS 3000
#define DOWN_MS 700
#define HEARTBEAT_DELAY_MS 3000
#define LAST_REQUEST_MS 7500
#define REQUEST_INTERVAL_MS 100

static const char configuration[] =
	"{\"version\":3,\"routes\":{\"r-reads\":{\"host\":\"h.example\","
	"\"pathPrefix\":\"/read/\",\"kind\":\"safe\",\"timeoutS\":2.5,"
	"\"sloS\":0.6,\"priority\":1,\"service\":\"certdesk\",\"attempts\":2,"
	"\"sticky\":true,\"homeRegions\":[]}},\"services\":{\"certdesk\":{"
	"\"healthPath\":\"/health\",\"maxConns\":360,\"protocol\":\"h1\","
	"\"tls\":false,\"coldStartS\":3.0,\"coldPerS\":9.8}},\"limits\":{"
	"\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,"
	"\"headerTimeoutS\":3,\"idleTimeoutS\":15}}";

/** The one that leaves, and one that stays. */
static struct rig_server leaving = {
	.id = "i-certdesk-1",
	.service = "certdesk",
	.zone = "erongo-a",
	.slots = 9,
	.work_ms = 50,
	.body_bytes = 1500,
	.host = 61,
};
static struct rig_server staying = {
	.id = "i-certdesk-2",
	.service = "certdesk",
	.zone = "erongo-a",
	.slots = 9,
	.work_ms = 50,
	.body_bytes = 1500,
	.host = 62,
};

static int read_once_(const char *id)
{
	struct rig_answer answer;
	char head[256];

	snprintf(head, sizeof(head),
		 "Host: h.example\r\nRequest-Id: %s\r\nAffinity-Key: %s\r\n"
		 "Deadline-Ms: 4000\r\n",
		 id, id);
	rig_call(rig_entry_address(0), "GET", "/read/x", head, "", 4000, 0.0,
		 &answer);
	rig_record("client: %s gets %d", id, answer.status);
	return answer.status;
}

static void restart_(void)
{
	int i;

	for (i = 0; i < KILLED_PROCESSES; i++)
		rig_signal(i, SIGKILL);
	for (i = 0; i < KILLED_PROCESSES; i++)
		rig_wait_exit(i);
	rig_sleep_ms(DOWN_MS);
	for (i = 0; i < KILLED_PROCESSES; i++)
		rig_restart(i);
}

int main(int argc, char **argv)
{
	struct rig_answer answer;
	uint64_t late_sequence;
	int64_t left_ms;
	int64_t in_touch_ms;
	int late = 0;
	int served = 0;
	char id[64];
	int i;

	(void)argc;
	rig_begin(argv[1]);
	rig_start_deployment(configuration);
	rig_start_entry(1);
	rig_server_start(&leaving);
	rig_server_start(&staying);
	for (i = 0; i < 40 && !rig_server_was_sent(&leaving, id); i++) {
		rig_sleep_ms(200);
		snprintf(id, sizeof(id), "first-%d", i);
		read_once_(id);
	}
	if (!rig_server_was_sent(&leaving, id))
		rig_end(RIG_NOT_RUN);
	rig_sleep_ms(3500);

	leaving.announces = false;
	late_sequence = ++leaving.sequence;
	if (!rig_trouble())
		rig_record("heartbeat %d of %s: %d", (int)late_sequence,
			   leaving.id,
			   rig_heartbeat(&leaving, rig_control_address(1),
					 "ready", late_sequence));
	leaving.leaving = true;
	rig_call(rig_control_address(0), "POST",
		 "/-/instances/i-certdesk-1/leave", "", "", 1000, 0.0, &answer);
	left_ms = rig_now_ms();
	rig_record("leave of %s: %d", leaving.id, answer.status);
	if (answer.status != 200)
		rig_end(RIG_NOT_RUN);
	if (rig_trouble())
		restart_();
	in_touch_ms = rig_now_ms() + SETTLE_MS;
	rig_sleep_ms(left_ms + HEARTBEAT_DELAY_MS - rig_now_ms());
	if (rig_trouble())
		rig_record("heartbeat %d of %s, late: %d", (int)late_sequence,
			   leaving.id,
			   rig_heartbeat(&leaving, rig_control_address(1),
					 "ready", late_sequence));
	while (rig_now_ms() <= in_touch_ms + 200 ||
	       rig_now_ms() <= left_ms + DRAIN_MS)
		rig_sleep_ms(50);
	rig_record("the entry host is in touch; drainS is over");
	for (i = 0; rig_now_ms() < left_ms + LAST_REQUEST_MS; i++) {
		snprintf(id, sizeof(id), "after-%d", i);
		served += read_once_(id) == 200;
		late += rig_server_was_sent(&leaving, id);
		rig_sleep_ms(REQUEST_INTERVAL_MS);
	}
	rig_record("%d requests served, %d reached the server that has left",
		   served, late);
	if (!served)
		rig_end(RIG_NOT_RUN);
	rig_end(late ? RIG_BROKEN : RIG_HELD);
}
