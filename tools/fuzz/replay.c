/*
 * Runs the input files given as arguments through the fuzz target without a
 * fuzzer: the regression test of inputs found earlier (tools/fuzz/corpus).
 */
#include <stdio.h>

#include "bwbase/buffer.h"
#include "bwbase/yaml.h"

#include "fuzz_parsers.h"

#define INPUT_LIMIT_BYTES (1024 * 1024)

int main(int argc, char **argv)
{
	struct bw_yaml_error error;
	struct bw_buffer input;
	int i;

	for (i = 1; i < argc; i++) {
		bw_buffer_init(&input);
		if (bw_file_read(argv[i], INPUT_LIMIT_BYTES, &input, &error) !=
		    BW_OK) {
			fprintf(stderr, "%s\n", error.text);
			return 1;
		}
		LLVMFuzzerTestOneInput(input.data, input.size_bytes);
		bw_buffer_finish(&input);
	}
	printf("%d inputs passed\n", argc - 1);
	return 0;
}
