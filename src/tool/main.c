#include <locale.h>
#include <popt.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <curl/curl.h>

#include "cmd.h"

#define DEFAULT_TIMEOUT_MS 5000
#define DEFAULT_WAIT_S 30
#define DEFAULT_LIMIT 20
/* Log files of one "explain", one per instance. */
#define MAX_LOGS 512

static const struct cmd_command commands[] = {
	{"rules check", "FILE", "checks a rules file and reports all problems",
	 CMD_COMMON_OPTIONS, 1, 1, cmd_rules_check},
	{"rules show", "", "prints the latest rules in the store",
	 CMD_STORE_OPTIONS | CMD_OPT_BIT(CMD_OPT_CANONICAL) |
		 CMD_OPT_BIT(CMD_OPT_PLAIN),
	 0, 0, cmd_rules_show},
	{"rules diff", "FILE [FILE]",
	 "compares a file with the latest rules, or two files",
	 CMD_STORE_OPTIONS | CMD_OPT_BIT(CMD_OPT_LIMIT), 1, 2, cmd_rules_diff},
	{"rules publish", "FILE", "publishes a file as the next revision",
	 CMD_STORE_OPTIONS | CMD_OPT_BIT(CMD_OPT_INSTANCE) |
		 CMD_OPT_BIT(CMD_OPT_BASE) | CMD_OPT_BIT(CMD_OPT_AUTHOR) |
		 CMD_OPT_BIT(CMD_OPT_REQUESTED_BY) | CMD_OPT_BIT(CMD_OPT_NOTE) |
		 CMD_OPT_BIT(CMD_OPT_WAIT) | CMD_OPT_BIT(CMD_OPT_WAIT_TIMEOUT) |
		 CMD_OPT_BIT(CMD_OPT_LIMIT),
	 1, 1, cmd_rules_publish},
	{"rules watch", "", "prints each revision as it is published",
	 CMD_STORE_OPTIONS | CMD_OPT_BIT(CMD_OPT_COUNT), 0, 0, cmd_rules_watch},
	{"rules history", "", "lists published revisions, newest first",
	 CMD_STORE_OPTIONS | CMD_OPT_BIT(CMD_OPT_LIMIT), 0, 0,
	 cmd_rules_history},
	{"status", "", "shows the state of instances",
	 CMD_STORE_OPTIONS | CMD_OPT_BIT(CMD_OPT_INSTANCE), 0, 0, cmd_status},
	{"audit", "", "lists the audit trail, newest first",
	 CMD_STORE_OPTIONS | CMD_OPT_BIT(CMD_OPT_LIMIT), 0, 0, cmd_audit},
	{"settings check", "FILE", "checks the settings file of an instance",
	 CMD_COMMON_OPTIONS, 1, 1, cmd_settings_check},
	{"settings check-edge", "FILE",
	 "checks the settings file of an edge instance", CMD_COMMON_OPTIONS, 1,
	 1, cmd_settings_check_edge},
	{"config check", "FILE",
	 "checks a configuration before it is written to the store",
	 CMD_COMMON_OPTIONS | CMD_OPT_BIT(CMD_OPT_IN_FORCE), 1, 1,
	 cmd_config_check},
	{"explain", "ID LOG...",
	 "shows what edge instances logged about a request", CMD_COMMON_OPTIONS,
	 2, MAX_LOGS, cmd_explain},
	{"version", "", "prints the version", CMD_COMMON_OPTIONS, 0, 0,
	 cmd_version},
};

static struct poptOption option_entry(struct cmd_env *env, enum cmd_option id)
{
	const struct poptOption all[CMD_N_OPTIONS] = {
		[CMD_OPT_JSON] = {"json", 'j', POPT_ARG_NONE, &env->json, 0,
				  "print JSON", NULL},
		[CMD_OPT_STORE] = {"store", 's', POPT_ARG_STRING, &env->store,
				   0,
				   "address of the object API (default: "
				   "WAGTAILFERRY_STORE)",
				   "IP:PORT"},
		[CMD_OPT_TIMEOUT] = {"timeout", 't', POPT_ARG_INT,
				     &env->timeout_ms, 0,
				     "time limit of one request", "MS"},
		[CMD_OPT_INSTANCE] = {"instance", 'i', POPT_ARG_ARGV,
				      &env->instances, 0,
				      "operator address of an instance; "
				      "repeatable",
				      "IP:PORT"},
		[CMD_OPT_BASE] = {"base", 'b', POPT_ARG_STRING, &env->base, 0,
				  "revision that was edited, or \"latest\"",
				  "REVISION"},
		[CMD_OPT_AUTHOR] = {"author", 'a', POPT_ARG_STRING,
				    &env->author, 0,
				    "who publishes (default: the user)",
				    "NAME"},
		[CMD_OPT_REQUESTED_BY] = {"requested-by", 'r', POPT_ARG_STRING,
					  &env->requested_by, 0,
					  "who asked (default: the requesters "
					  "of the added lines)",
					  "NAME"},
		[CMD_OPT_NOTE] = {"note", 'n', POPT_ARG_STRING, &env->note, 0,
				  "remark for the audit trail", "TEXT"},
		[CMD_OPT_WAIT] = {"wait", 'w', POPT_ARG_NONE, &env->wait, 0,
				  "wait until it is in force on all instances",
				  NULL},
		[CMD_OPT_WAIT_TIMEOUT] = {"wait-timeout", 0, POPT_ARG_INT,
					  &env->wait_timeout_s, 0,
					  "how long to wait", "SECONDS"},
		[CMD_OPT_CANONICAL] = {"canonical", 'c', POPT_ARG_NONE,
				       &env->canonical, 0,
				       "print in canonical form", NULL},
		[CMD_OPT_PLAIN] = {"plain", 'p', POPT_ARG_NONE, &env->plain, 0,
				   "leave out the base line", NULL},
		[CMD_OPT_LIMIT] = {"limit", 'l', POPT_ARG_INT, &env->limit, 0,
				   "number of entries, 0: all", "N"},
		[CMD_OPT_COUNT] = {"count", 0, POPT_ARG_INT, &env->count, 0,
				   "exit after N revisions", "N"},
		[CMD_OPT_IN_FORCE] = {"in-force", 'f', POPT_ARG_STRING,
				      &env->in_force, 0,
				      "the configuration in force, to compare "
				      "with",
				      "FILE"},
	};

	return all[id];
}

static void print_usage(FILE *out)
{
	size_t i;

	fprintf(out, "usage: wagtailferry COMMAND [OPTIONS] [ARGUMENTS]\n\n");
	for (i = 0; i < G_N_ELEMENTS(commands); i++)
		fprintf(out, "  %-19s %-12s %s\n", commands[i].name,
			commands[i].usage, commands[i].summary);
	fprintf(out, "\n\"wagtailferry COMMAND --help\" lists the options.\n"
		     "Exit codes: 0 done, 1 refused or invalid, 2 usage, "
		     "3 conflict, 4 unreachable,\n5 outcome unknown.\n");
}

/* Finds the command that argv names; sets n_words to its number of words. */
static const struct cmd_command *find_command(int argc, char **argv,
					      int *n_words)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(commands); i++) {
		char **words = g_strsplit(commands[i].name, " ", 0);
		int n = (int)g_strv_length(words);
		bool matches = argc > n;
		int j;

		for (j = 0; matches && j < n; j++)
			matches = !strcmp(argv[j + 1], words[j]);
		g_strfreev(words);
		*n_words = n;
		if (matches)
			return &commands[i];
	}
	return NULL;
}

static enum cmd_exit run_parsed(const struct cmd_command *command,
				struct cmd_env *env, poptContext popt)
{
	int code = poptGetNextOpt(popt);

	if (code < -1) {
		cmd_print_error(env, ERR_BAD_REQUEST, "%s: %s",
				poptBadOption(popt, POPT_BADOPTION_NOALIAS),
				poptStrerror(code));
		return CMD_USAGE;
	}
	env->args = poptGetArgs(popt);
	while (env->args && env->args[env->n_args])
		env->n_args++;
	if (env->n_args < command->min_args ||
	    env->n_args > command->max_args || env->timeout_ms <= 0 ||
	    env->limit < 0 || env->count < 0 || env->wait_timeout_s < 0) {
		cmd_print_error(env, ERR_BAD_REQUEST,
				"usage: wagtailferry %s [OPTIONS] %s",
				command->name, command->usage);
		return CMD_USAGE;
	}
	return command->run(env);
}

static void free_env(struct cmd_env *env)
{
	size_t i;

	for (i = 0; env->instances && env->instances[i]; i++)
		free(env->instances[i]);
	free(env->instances);
	free(env->store);
	free(env->base);
	free(env->author);
	free(env->requested_by);
	free(env->note);
	free(env->in_force);
}

static enum cmd_exit run_command(const struct cmd_command *command, int argc,
				 const char **argv)
{
	struct poptOption options[CMD_N_OPTIONS + 2] = {{0}};
	struct cmd_env env = {.timeout_ms = DEFAULT_TIMEOUT_MS,
			      .wait_timeout_s = DEFAULT_WAIT_S,
			      .limit = DEFAULT_LIMIT};
	enum cmd_exit result;
	poptContext popt;
	unsigned n = 0;
	unsigned id;
	char *title = g_strdup_printf("%s [OPTIONS] %s", command->name,
				      command->usage);

	for (id = 0; id < CMD_N_OPTIONS; id++)
		if (command->options & CMD_OPT_BIT(id))
			options[n++] = option_entry(&env, (enum cmd_option)id);
	options[n] = (struct poptOption){NULL,
					 '\0',
					 POPT_ARG_INCLUDE_TABLE,
					 poptHelpOptions,
					 0,
					 "Help options:",
					 NULL};
	popt = poptGetContext("wagtailferry", argc, argv, options, 0);
	poptSetOtherOptionHelp(popt, title);
	result = run_parsed(command, &env, popt);
	poptFreeContext(popt);
	free_env(&env);
	g_free(title);
	return result;
}

int main(int argc, char **argv)
{
	const struct cmd_command *command;
	enum cmd_exit result;
	int n_words;

	setlocale(LC_CTYPE, "");
	if (argc > 1 && (!strcmp(argv[1], "--help") || !strcmp(argv[1], "-?") ||
			 !strcmp(argv[1], "help"))) {
		print_usage(stdout);
		return CMD_OK;
	}
	command = find_command(argc, argv, &n_words);
	if (!command) {
		print_usage(stderr);
		return CMD_USAGE;
	}
	curl_global_init(CURL_GLOBAL_DEFAULT);
	/* popt needs the program's name, which its help shows, in argv[0]. */
	argv[n_words] = argv[0];
	result = run_command(command, argc - n_words,
			     (const char **)(argv + n_words));
	curl_global_cleanup();
	return (int)result;
}
