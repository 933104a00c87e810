/**
 * @file
 * Semantic check of a sheet that matches its YAML schema.
 */
#ifndef PRIVATE_SHEET_CHECK_H
#define PRIVATE_SHEET_CHECK_H

#include "bwsteer/sheet.h"

/** Largest number of errors reported for a sheet. */
#define SHEET_ERRORS_MAX 100

/**
 * Checks all rules of a sheet and resolves its references.
 * @param sheet the parsed sheet; receives the resolved members
 * @param lines line numbers of the sheet's text
 * @param errors receives each error with its line
 */
void sheet_check(struct bw_sheet *sheet, struct bw_yaml_lines *lines,
		 struct bw_sheet_errors *errors);

/** Appends an error; errors beyond SHEET_ERRORS_MAX are dropped. */
void sheet_errors_add(struct bw_sheet_errors *errors, uint32_t line,
		      const char *format, ...)
	__attribute__((format(printf, 3, 4)));

#endif
