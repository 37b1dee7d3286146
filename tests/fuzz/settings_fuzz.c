/* Parses settings from untrusted bytes: either settings or an error, no crash.
 */

#include <stdlib.h>

#include <wagtailferry/schema.h>

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	GError *error = NULL;
	Wf__Settings *settings;

	settings = sch_settings_parse((const char *)data, size, &error);
	if (!settings != (error != NULL))
		abort();
	sch_settings_free(settings);
	g_clear_error(&error);
	return 0;
}
