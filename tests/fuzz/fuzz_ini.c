/* Fuzzes the parsers of the operators' INI file and of the operator keys. An
 * INI file that parses must give equal objects when they are written and parsed
 * again. */
#include <stdlib.h>
#include <string.h>

#include "fuzz/fuzz_target.h"
#include "state/config_ini.h"
#include "state/operator_keys.h"

static void check_round_trip(const struct config_ini *ini)
{
	struct buffer text = {0};
	struct config_ini reparsed;

	for (size_t i = 0; i < ini->section_count; i++)
		config_ini_write(ini->sections[i].object, &text);
	if (!text.data)
		return;
	if (!config_ini_parse(&reparsed, "again", text.data, text.size) ||
	    reparsed.section_count != ini->section_count)
		abort();
	for (size_t i = 0; i < ini->section_count; i++)
		if (!config_object_equals(ini->sections[i].object,
					  reparsed.sections[i].object))
			abort();
	config_ini_clear(&reparsed);
	buffer_free(&text);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct config_ini ini;
	struct tgw_error error;

	if (config_ini_parse(&ini, "file", (const char *)data, size))
		check_round_trip(&ini);
	config_ini_clear(&ini);
	operator_keys_free(
		operator_keys_parse("file", (const char *)data, size, &error));
	return 0;
}
