#include "forward/unseen_load.h"

#include <string.h>

/* The ring covers about 800 ms. */
#define SAMPLE_INTERVAL_MS 25
/* Until the first reports. */
#define DEFAULT_REPORT_AGE_MS 300
#define MAX_REPORT_AGE_MS 700

void uns_init(struct uns_load *load)
{
	memset(load, 0, sizeof(*load));
	uns_set_peers(load, 1, DEFAULT_REPORT_AGE_MS);
}

void uns_set_peers(struct uns_load *load, unsigned instances, clk_ms report_age)
{
	load->instances = instances ? instances : 1;
	load->report_age = CLAMP(report_age, 0, MAX_REPORT_AGE_MS);
}

static unsigned sample_index(const struct uns_load *load, unsigned age)
{
	return (load->next + UNS_SAMPLES - 1 - age) % UNS_SAMPLES;
}

static void add_sample(struct uns_load *load, clk_ms now, double used)
{
	if (load->count &&
	    now - load->samples[sample_index(load, 0)].at < SAMPLE_INTERVAL_MS)
		return;
	load->samples[load->next].at = now;
	load->samples[load->next].used = used;
	load->next = (load->next + 1) % UNS_SAMPLES;
	load->count = MIN(load->count + 1, UNS_SAMPLES);
}

double uns_update(struct uns_load *load, clk_ms now, double used)
{
	clk_ms since = now - load->report_age;
	double before = used;
	unsigned age;

#ifdef WF_GUARD_OFF_UNSEEN_LOAD
	return 0;
#endif
	add_sample(load, now, used);
	for (age = 0; age < load->count; age++) {
		unsigned i = sample_index(load, age);

		before = load->samples[i].used;
		if (load->samples[i].at <= since)
			break;
	}
	return MAX(used - before, 0) * (load->instances - 1);
}
