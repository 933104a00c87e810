#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "bwsteer/sheet.h"
#include "script.h"

#define SHEET_PATH_BYTES 256

/** The sheet that a script works on: a text with replacements. */
struct fixture {
	struct bw_buffer text;
	struct bw_sheet *sheet;
};

static void read_(struct fixture *fixture, const char *name);
static void replace_(struct fixture *fixture, const char *from, const char *to);
static void load_(struct fixture *fixture, struct bw_buffer *out);
static void sheet_command_(void *context, int argc, char **argv,
			   struct bw_buffer *out);

/* Guards against a sheet that breaks a rule being accepted. */
static void test_sheet_script(void **state)
{
	struct fixture fixture = { .sheet = NULL };

	(void)state;
	script_check("src/test_libbwsteer/scripts/sheet.script", sheet_command_,
		     &fixture);
	bw_sheet_free(fixture.sheet);
	bw_buffer_finish(&fixture.text);
}

static void sheet_command_(void *context, int argc, char **argv,
			   struct bw_buffer *out)
{
	struct fixture *fixture = context;

	assert_true(argc >= 2 || !strcmp(argv[0], "load"));
	if (!strcmp(argv[0], "read"))
		read_(fixture, argv[1]);
	else if (!strcmp(argv[0], "replace"))
		replace_(fixture, argv[1], argv[2]);
	else if (!strcmp(argv[0], "load"))
		load_(fixture, out);
	else if (!strcmp(argv[0], "kind"))
		bw_buffer_printf(
			out, "%d\n",
			(int)bw_sheet_find_kind(
				&fixture->sheet->services[atoi(argv[1])],
				argv[2], argv[3]));
	else if (!strcmp(argv[0], "draining"))
		bw_buffer_printf(out, "%s\n",
				 bw_sheet_is_draining(fixture->sheet, argv[1],
						      argv[2], argv[3],
						      atoll(argv[4]))
					 ? "yes"
					 : "no");
	else
		fail_msg("unknown command %s", argv[0]);
}

static void read_(struct fixture *fixture, const char *name)
{
	struct bw_yaml_error error;
	char path[SHEET_PATH_BYTES];

	snprintf(path, sizeof(path), "examples/%s", name);
	bw_buffer_clear(&fixture->text);
	assert_int_equal(bw_file_read(path, BW_SHEET_MAX_BYTES, &fixture->text,
				      &error),
			 BW_OK);
}

/* Words of a script have no spaces: '_' stands for a space in both texts. */
static void replace_(struct fixture *fixture, const char *from, const char *to)
{
	char wanted[SHEET_PATH_BYTES];
	char put[SHEET_PATH_BYTES];
	struct bw_buffer result;
	char *text;
	char *at;
	char *c;

	snprintf(wanted, sizeof(wanted), "%s", from);
	snprintf(put, sizeof(put), "%s", to);
	for (c = wanted; *c; c++)
		*c = *c == '_' ? ' ' : *c;
	for (c = put; *c; c++)
		*c = *c == '_' ? ' ' : *c;
	for (c = wanted; *c; c++)
		*c = *c == '~' ? '_' : *c;
	for (c = put; *c; c++)
		*c = *c == '~' ? '_' : *c;
	bw_buffer_append(&fixture->text, "", 1);
	text = (char *)fixture->text.data;
	at = strstr(text, wanted);
	if (!at)
		fail_msg("'%s' is not in the sheet", wanted);
	bw_buffer_init(&result);
	bw_buffer_append(&result, text, (size_t)(at - text));
	bw_buffer_append(&result, put, strlen(put));
	bw_buffer_append(&result, at + strlen(wanted),
			 strlen(at + strlen(wanted)));
	bw_buffer_finish(&fixture->text);
	fixture->text = result;
}

static void load_(struct fixture *fixture, struct bw_buffer *out)
{
	struct bw_sheet_errors errors;
	enum bw_status status;
	uint32_t i;

	bw_sheet_free(fixture->sheet);
	bw_sheet_errors_init(&errors);
	status = bw_sheet_load(fixture->text.data, fixture->text.size_bytes,
			       &fixture->sheet, &errors);
	if (status == BW_OK)
		bw_buffer_printf(out, "ok revision=%u domains=%u services=%u\n",
				 (uint32_t)fixture->sheet->revision,
				 fixture->sheet->domains_count,
				 fixture->sheet->services_count);
	for (i = 0; i < errors.count; i++)
		bw_buffer_printf(out, "line %u: %s\n", errors.items[i].line,
				 errors.items[i].text);
	bw_sheet_errors_finish(&errors);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_sheet_script),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
