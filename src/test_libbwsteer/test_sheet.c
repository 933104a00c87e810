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

#define TEXT_BYTES_MAX 256

/** The YAML text that a script edits, and the sheet loaded from it. */
struct fixture {
	struct bw_buffer text;
	struct bw_sheet *sheet;
};

static void read_(struct fixture *fixture, const char *name);
static void replace_(struct fixture *fixture, const char *from, const char *to);
static void load_(struct fixture *fixture, struct bw_buffer *out);
static void sheet_command_(void *context, int argc, char **argv,
			   struct bw_buffer *out);

/* Guards against accepting an invalid sheet. */
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
	char path[TEXT_BYTES_MAX];

	snprintf(path, sizeof(path), "examples/%s", name);
	bw_buffer_clear(&fixture->text);
	assert_int_equal(bw_file_read(path, BW_SHEET_MAX_BYTES, &fixture->text,
				      &error),
			 BW_OK);
}

/* Arguments of a script command contain no spaces: in both texts, '_' stands
 * for a space and '~' for an underscore. */
static void replace_(struct fixture *fixture, const char *from, const char *to)
{
	char search[TEXT_BYTES_MAX];
	char replacement[TEXT_BYTES_MAX];
	struct bw_buffer result;
	char *text;
	char *match;
	char *c;

	snprintf(search, sizeof(search), "%s", from);
	snprintf(replacement, sizeof(replacement), "%s", to);
	for (c = search; *c; c++)
		*c = *c == '_' ? ' ' : *c;
	for (c = replacement; *c; c++)
		*c = *c == '_' ? ' ' : *c;
	for (c = search; *c; c++)
		*c = *c == '~' ? '_' : *c;
	for (c = replacement; *c; c++)
		*c = *c == '~' ? '_' : *c;
	bw_buffer_append(&fixture->text, "", 1);
	text = (char *)fixture->text.data;
	match = strstr(text, search);
	if (!match)
		fail_msg("'%s' is not in the sheet", search);
	bw_buffer_init(&result);
	bw_buffer_append(&result, text, (size_t)(match - text));
	bw_buffer_append(&result, replacement, strlen(replacement));
	bw_buffer_append(&result, match + strlen(search),
			 strlen(match + strlen(search)));
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
