#include "request/content_id.h"

#include <sodium.h>
#include <string.h>

void content_hash(const char *const *texts, size_t count, const void *body,
		  size_t size, uint8_t hash[CONTENT_HASH_SIZE_BYTES])
{
	crypto_generichash_state state;
	size_t i;

	crypto_generichash_init(&state, NULL, 0, CONTENT_HASH_SIZE_BYTES);
	for (i = 0; i < count; i++)
		/* The NUL separates the texts from each other. */
		crypto_generichash_update(&state,
					  (const unsigned char *)texts[i],
					  strlen(texts[i]) + 1);
	if (size)
		crypto_generichash_update(&state, body, size);
	crypto_generichash_final(&state, hash, CONTENT_HASH_SIZE_BYTES);
}

uint64_t content_id(const char *account, const char *method, const char *path,
		    const char *query, const void *body, size_t size)
{
	const char *const texts[] = { account ? account : "", method, path,
				      query };
	uint8_t hash[CONTENT_HASH_SIZE_BYTES];
	uint64_t id = 0;
	size_t i;

	content_hash(texts, sizeof(texts) / sizeof(texts[0]), body, size, hash);
	/* Byte by byte, so that nodes of any byte order agree. */
	for (i = 0; i < sizeof(id); i++)
		id = id << 8 | hash[i];
	return id ? id : 1;
}
