#include <math.h>
#include <string.h>

#include "sched/adm.h"

/* Pairs of organisation and kind of request: 65,536 x 24 bytes are 1.5 MB. */
#define HISTORY_SLOTS 65536
#define HISTORY_SMOOTHING 0.2
/* Expected length of a request without history, as a part of max_tokens. */
#define HISTORY_DEFAULT_RATIO 0.5
/* A request is long above this multiple of the geometric mean of the cost. */
#define LONG_FACTOR 5.0
#define LONG_SMOOTHING 0.02
#define LONG_INITIAL_COST 256.0
/*
 * Costs above the threshold move it by this factor less. Otherwise many long
 * requests would raise it until they count as short.
 */
#define LONG_OUTLIER_DAMPING 20.0

struct slot {
	uint64_t key; /* 0: free */
	float mean;
	float deviation;
	unsigned n;
};

struct adm_history {
	double log_cost; /* mean logarithm of the cost, 0: unknown */
	struct slot slots[HISTORY_SLOTS];
};

struct adm_history *adm_history_new(void)
{
	return g_new0(struct adm_history, 1);
}

void adm_history_drop(struct adm_history *history)
{
	g_free(history);
}

/* The kind of a request is its model and the magnitude of max_tokens. */
static uint64_t key_of(const char *org, const char *model, unsigned max_tokens)
{
	uint64_t kind = wf_hash(model, strlen(model),
				(uint64_t)g_bit_storage(max_tokens));
	uint64_t key = wf_hash(org, strlen(org), kind);

	return key ? key : 1;
}

double adm_expected_length(const struct adm_history *history, const char *org,
			   const char *model, unsigned max_tokens)
{
	uint64_t key = key_of(org, model, max_tokens);
	const struct slot *slot = &history->slots[key % HISTORY_SLOTS];
	double expected;

	if (slot->key != key)
		return MAX(max_tokens * HISTORY_DEFAULT_RATIO, 1);
	expected = (double)slot->mean + (double)slot->deviation;
	return CLAMP(expected, 1, max_tokens);
}

void adm_record_length(struct adm_history *history, const char *org,
		       const char *model, unsigned max_tokens, unsigned length)
{
	uint64_t key = key_of(org, model, max_tokens);
	struct slot *slot = &history->slots[key % HISTORY_SLOTS];
	double error;

	if (slot->key != key) {
		slot->key = key;
		slot->mean = (float)length;
		slot->deviation = (float)length / 4;
		slot->n = 1;
		return;
	}
	error = length - (double)slot->mean;
	slot->mean += (float)(HISTORY_SMOOTHING * error);
	slot->deviation += (float)(HISTORY_SMOOTHING *
				   (fabs(error) - (double)slot->deviation));
	slot->n++;
}

double adm_long_threshold(const struct adm_history *history)
{
	if (history->log_cost == 0)
		return LONG_INITIAL_COST;
	return LONG_FACTOR * exp(history->log_cost);
}

void adm_record_cost(struct adm_history *history, double cost)
{
	double value = log(MAX(cost, 1));

	double smoothing = LONG_SMOOTHING;

	if (history->log_cost == 0) {
		history->log_cost = log(LONG_INITIAL_COST / LONG_FACTOR);
	} else if (cost > adm_long_threshold(history)) {
		smoothing /= LONG_OUTLIER_DAMPING;
	}
	history->log_cost += smoothing * (value - history->log_cost);
}
