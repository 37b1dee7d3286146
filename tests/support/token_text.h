#ifndef WF_SUPPORT_TOKEN_TEXT_H
#define WF_SUPPORT_TOKEN_TEXT_H

/*
 * token: the token function of the engine fakes. An activation is a 64-bit hash
 * that each layer updates, so the text of a token is correct only if all layers
 * ran once and in order. Tests compute expected answers with it.
 */

#include <glib.h>
#include <stdint.h>

static inline uint64_t token_mix(uint64_t value)
{
	/* The finalizer of splitmix64. */
	value += UINT64_C(0x9e3779b97f4a7c15);
	value = (value ^ (value >> 30)) * UINT64_C(0xbf58476d1ce4e5b9);
	value = (value ^ (value >> 27)) * UINT64_C(0x94d049bb133111eb);
	return value ^ (value >> 31);
}

/* The activation that enters layer 0. */
static inline uint64_t token_embed(const char *prompt, unsigned position)
{
	uint64_t hash = UINT64_C(0xcbf29ce484222325);
	const char *at;

	for (at = prompt; *at; at++)
		hash = (hash ^ (unsigned char)*at) * UINT64_C(0x100000001b3);
	return token_mix(hash + position);
}

/* Applies the layers first..last to an activation. */
static inline uint64_t token_layers(uint64_t value, unsigned first,
				    unsigned last)
{
	unsigned layer;

	for (layer = first; layer <= last; layer++)
		value = token_mix(value ^ layer);
	return value;
}

/* The text of a token, from the activation after the last layer. */
static inline void token_word(uint64_t value, char word[8])
{
	static const char consonants[] = "bdfghjklmnprstvz";
	static const char vowels[] = "aeio";
	unsigned i;

	for (i = 0; i < 3; i++) {
		word[2 * i] = consonants[value % 16];
		word[2 * i + 1] = vowels[value / 16 % 4];
		value /= 64;
	}
	word[6] = ' ';
	word[7] = '\0';
}

/* The text of the tokens from..to-1 of a prompt; free with g_free(). */
static inline char *token_text(const char *prompt, unsigned n_layers,
			       unsigned from, unsigned to)
{
	GString *text = g_string_new(NULL);
	unsigned position;
	char word[8];

	for (position = from; position < to; position++) {
		token_word(token_layers(token_embed(prompt, position), 0,
					n_layers - 1),
			   word);
		g_string_append(text, word);
	}
	return g_string_free(text, FALSE);
}

#endif
