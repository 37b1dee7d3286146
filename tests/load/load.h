#ifndef WF_LOAD_LOAD_H
#define WF_LOAD_LOAD_H

/* load: open-loop load driver for entry instances. */

#include "../fakes/http_client.h"

#include <jansson.h>

enum load_kind {
	LOAD_SHORT,
	LOAD_LONG,
	LOAD_BOOKING,
	LOAD_REPEAT, /* a booking sent again to another instance */
	LOAD_N_KINDS,
};

enum load_outcome {
	LOAD_COMPLETE,	 /* complete, correct response */
	LOAD_WRONG,	 /* complete response with other content */
	LOAD_INCOMPLETE, /* truncated response */
	LOAD_REFUSED,	 /* error response with "not_run" */
	LOAD_ERROR,	 /* other error response or error event */
	LOAD_FAILED,	 /* no response */
	LOAD_TIMEOUT,
	LOAD_N_OUTCOMES,
};

/* Samples of a measurement; a bounded number is kept. */
struct load_series {
	GArray *values; /* double, ms */
	guint64 n;
	double max;
};

struct load_stats {
	guint64 sent[LOAD_N_KINDS];
	guint64 outcomes[LOAD_N_KINDS][LOAD_N_OUTCOMES];
	GHashTable *errors;			/* "type/run" -> count */
	struct load_series first[LOAD_N_KINDS]; /* first token or byte */
	struct load_series total[LOAD_N_KINDS];
	struct load_series refusal;
	struct load_series gap[LOAD_N_KINDS];
	guint64 tokens;
	double launch_lag_ms; /* longest delay between due time and start */
};

void load_stats_init(struct load_stats *stats);
void load_stats_clear(struct load_stats *stats);
void load_series_add(struct load_series *series, double ms);
void load_stats_error(struct load_stats *stats, const char *type,
		      const char *run);

/* All figures as JSON; seconds is the duration of the run. */
json_t *load_stats_json(struct load_stats *stats, double seconds);

struct load_config {
	char **targets; /* "IP:port" of entry instances */
	char **tokens;	/* bearer tokens */
	char *model;
	char *service;
	char *prompt_prefix; /* of the prompt that reaches the engines */
	char *prompt_suffix;
	double rate; /* requests per second */
	int requests;
	double long_share;
	double booking_share;
	double repeat_share; /* of bookings */
	int short_tokens;
	int long_tokens;
	int n_layers;
	int timeout_ms;
	int seed;
	int poisson;
};

struct load_driver {
	struct load_config config;
	struct load_stats stats;
	struct fc_client *client;
	uv_loop_t loop;
	uv_timer_t timer;
	GRand *rand;
	gint64 begin_us;
	gint64 next_us; /* when the next request is due */
	int started;
	guint64 open; /* requests in progress */
};

/* Starts a request; its outcome goes to the statistics. */
void load_call_start(struct load_driver *driver, enum load_kind kind);

/* A UUIDv7 of the current time; free with g_free(). */
char *load_uuid7(GRand *rand);

#endif
