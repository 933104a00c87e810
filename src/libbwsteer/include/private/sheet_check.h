/**
 * @file
 * Semantic check of a loaded sheet, apart from its YAML schema.
 */
#ifndef PRIVATE_SHEET_CHECK_H
#define PRIVATE_SHEET_CHECK_H

#include "bwsteer/sheet.h"

/** Most errors reported for one sheet. */
#define SHEET_ERRORS_MAX 100

/**
 * Checks all rules of a sheet and resolves its references.
 * @param sheet loaded by schema; receives the resolved members
 * @param lines index of the sheet's text
 * @param errors receives each violation with its line
 */
void sheet_check(struct bw_sheet *sheet, struct bw_yaml_lines *lines,
		 struct bw_sheet_errors *errors);

/** Appends an error; further ones than SHEET_ERRORS_MAX are left out. */
void sheet_errors_add(struct bw_sheet_errors *errors, uint32_t line,
		      const char *format, ...)
	__attribute__((format(printf, 3, 4)));

#endif
