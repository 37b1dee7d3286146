#include <jansson.h>
#include <stdarg.h>
#include <stdlib.h>

#include <wagtailferry/base.h>

struct log_logger {
	int refs;
	log_sink sink;
	void *user;
};

struct log_logger *log_new(log_sink sink, void *user)
{
	struct log_logger *logger = g_new0(struct log_logger, 1);

	logger->refs = 1;
	logger->sink = sink;
	logger->user = user;
	return logger;
}

struct log_logger *log_keep(struct log_logger *logger)
{
	if (logger)
		logger->refs++;
	return logger;
}

void log_drop(struct log_logger *logger)
{
	if (logger && !--logger->refs)
		g_free(logger);
}

static void set_text(json_t *line, const char *key, const char *text)
{
	char *valid = g_utf8_make_valid(text, -1);

	json_object_set_new(line, key, json_string(valid));
	g_free(valid);
}

void log_change(struct log_logger *logger, clk_ms now, const char *subject,
		const char *from, const char *to, const char *detail, ...)
{
	json_t *line;
	char *text;
	va_list args;

	if (!logger || !logger->sink)
		return;
	line = json_object();
	json_object_set_new(line, "time_ms", json_integer(now));
	set_text(line, "subject", subject);
	set_text(line, "from", from);
	set_text(line, "to", to);
	if (detail) {
		va_start(args, detail);
		text = g_strdup_vprintf(detail, args);
		va_end(args);
		set_text(line, "detail", text);
		g_free(text);
	}
	text = json_dumps(line, JSON_COMPACT);
	logger->sink(logger->user, text);
	free(text);
	json_decref(line);
}
