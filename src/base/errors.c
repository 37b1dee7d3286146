#include <wagtailferry/base.h>

struct err_info {
	const char *name;
	int http_status;
};

static const struct err_info err_table[ERR_N_CODES] = {
	[ERR_BAD_REQUEST] = {"bad_request", 400},
	[ERR_BAD_JSON] = {"bad_json", 400},
	[ERR_BAD_SETTINGS] = {"bad_settings", 400},
	[ERR_BAD_RULES] = {"bad_rules", 400},
	[ERR_BAD_FRAME] = {"bad_frame", 400},
	[ERR_BAD_KEY] = {"bad_key", 400},
	[ERR_KEY_EXPIRED] = {"key_expired", 409},
	[ERR_KEY_REUSED] = {"key_reused", 422},
	[ERR_KEY_REQUIRED] = {"key_required", 400},
	[ERR_UNAUTHENTICATED] = {"unauthenticated", 401},
	[ERR_FORBIDDEN] = {"forbidden", 403},
	[ERR_NOT_FOUND] = {"not_found", 404},
	[ERR_NO_RULE] = {"no_rule", 403},
	[ERR_NO_TARGET] = {"no_target", 503},
	[ERR_TOO_LARGE] = {"too_large", 413},
	[ERR_RATE_LIMITED] = {"rate_limited", 429},
	[ERR_OVERLOADED] = {"overloaded", 503},
	[ERR_DEADLINE] = {"deadline", 504},
	[ERR_DRAINING] = {"draining", 503},
	[ERR_NOT_READY] = {"not_ready", 503},
	[ERR_STORE_UNAVAILABLE] = {"store_unavailable", 503},
	[ERR_STORE_CONFLICT] = {"store_conflict", 409},
	[ERR_STORE_UNKNOWN] = {"store_unknown", 503},
	[ERR_TARGET_FAILED] = {"target_failed", 502},
	[ERR_TARGET_REFUSED] = {"target_refused", 502},
	[ERR_TARGET_LOST] = {"target_lost", 502},
	[ERR_OUTCOME_UNKNOWN] = {"outcome_unknown", 504},
	[ERR_IN_PROGRESS] = {"in_progress", 409},
	[ERR_FENCED] = {"fenced", 409},
	[ERR_CANCELLED] = {"cancelled", 499},
	[ERR_PROTOCOL] = {"protocol", 502},
	[ERR_IO] = {"io", 502},
	[ERR_INTERNAL] = {"internal", 500},
};

G_DEFINE_QUARK(wagtailferry - error, err)

const char *err_name(enum err_code code)
{
	if ((unsigned)code >= ERR_N_CODES)
		return "internal";
	return err_table[code].name;
}

int err_http_status(enum err_code code)
{
	if ((unsigned)code >= ERR_N_CODES)
		return 500;
	return err_table[code].http_status;
}

const char *err_run_name(enum err_run run)
{
	switch (run) {
	case ERR_RUN_NOT:
		return "not_run";
	case ERR_RUN_YES:
		return "run";
	case ERR_RUN_UNKNOWN:
		break;
	}
	return "unknown";
}
