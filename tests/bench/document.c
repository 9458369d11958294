/**
 * Measures how a configuration document grows with the number of client
 * accounts: size, memory, time to parse the document and time to look up an
 * account by its key. Documents above the platform's object size are not
 * accepted, so the table also shows how many accounts fit.
 */
#include <inttypes.h>
#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <sodium.h>

#include "base/clock.h"
#include "version/document.h"

enum { SERVERS = 440, LOOKUPS = 100000, REPEATS = 5 };

static void write_accounts(FILE *out, int count)
{
	uint8_t hash[KEY_HASH_SIZE_BYTES];
	char key[32], text[2 * KEY_HASH_SIZE_BYTES + 1];
	int i;

	for (i = 0; i < count; i++) {
		snprintf(key, sizeof(key), "key-%d", i);
		document_hash_key(key, hash);
		sodium_bin2hex(text, sizeof(text), hash, sizeof(hash));
		fprintf(out,
			"%s{\"name\":\"account-%d\",\"key_hash\":\"%s\","
			"\"weight\":5,\"requests_per_s\":10,"
			"\"classes\":[\"quick\"]}",
			i ? "," : "", i, text);
	}
}

static char *make_document(int accounts, size_t *size_bytes)
{
	char *text = NULL;
	FILE *out = open_memstream(&text, size_bytes);
	int i;

	if (!out)
		abort();
	fprintf(out, "{\"version\":1,\"data_centres\":[{\"name\":\"a\"}],"
		     "\"classes\":[{\"name\":\"quick\",\"deadline_ms\":5000}],"
		     "\"servers\":[");
	for (i = 0; i < SERVERS; i++)
		fprintf(out,
			"%s{\"name\":\"server-%d\",\"data_centre\":\"a\","
			"\"kind\":\"engine\",\"model\":\"m\","
			"\"url\":\"http://127.0.0.1:9000\","
			"\"kv_tokens\":500000}",
			i ? "," : "", i);
	fprintf(out, "],\"accounts\":[");
	write_accounts(out, accounts);
	fprintf(out, "]}");
	fclose(out);
	return text;
}

static int64_t lookup_ns(const document_t *document, int accounts)
{
	uint8_t hash[KEY_HASH_SIZE_BYTES];
	int64_t start_us = clock_monotonic_us();
	char key[32];
	int i;

	for (i = 0; i < LOOKUPS; i++) {
		snprintf(key, sizeof(key), "key-%d", i % accounts);
		document_hash_key(key, hash);
		if (!document_account_by_key(document, hash))
			abort();
	}
	return (clock_monotonic_us() - start_us) * 1000 / LOOKUPS;
}

static void measure(int accounts)
{
	document_t *document = NULL;
	int64_t parse_us = INT64_MAX, start_us;
	size_t size_bytes, before_bytes, memory_bytes = 0;
	err_t err = { 0 };
	char *text = make_document(accounts, &size_bytes);
	int i;

	for (i = 0; i < REPEATS; i++) {
		document_unref(document);
		before_bytes = mallinfo2().uordblks;
		start_us = clock_monotonic_us();
		document = document_parse(text, size_bytes, &err);
		start_us = clock_monotonic_us() - start_us;
		memory_bytes = mallinfo2().uordblks - before_bytes;
		if (start_us < parse_us)
			parse_us = start_us;
	}
	if (document)
		printf("| %d | %zu | %zu | %" PRId64 " | %" PRId64 " |\n",
		       accounts, size_bytes, memory_bytes, parse_us,
		       lookup_ns(document, accounts));
	else
		printf("| %d | %zu | refused: %s | | |\n", accounts, size_bytes,
		       err.message);
	document_unref(document);
	free(text);
}

int main(void)
{
	static const int accounts[] = { 10, 1000, 2000, 4000, 43000 };
	size_t i;

	if (sodium_init() < 0)
		return 1;
	printf("| accounts | bytes | memory bytes | parse us | lookup ns |\n"
	       "|---|---|---|---|---|\n");
	for (i = 0; i < sizeof(accounts) / sizeof(accounts[0]); i++)
		measure(accounts[i]);
	return 0;
}
