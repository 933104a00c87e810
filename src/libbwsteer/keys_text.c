#include "private/keys_store.h"

#include <assert.h>
#include <stdio.h>
#include <string.h>

#include <sodium.h>

#define ID_HEX_CHARS (2 * BW_KEYS_ID_BYTES)
#define FIELD_COUNT 4 /* after the host: incarnation, expiry, nonce, MAC */
#define DIGEST_DOMAIN "request" /* domain separation of digests */

/** Positions of the fields in a key's text. The host name may contain dots. */
struct fields {
	const char *start[FIELD_COUNT];
	size_t length[FIELD_COUNT];
	size_t host_length;
};

static bool split_fields_(const char *text, struct fields *fields);
static bool read_hex_number_(const char *text, size_t length, uint64_t *value);
static bool read_hex_bytes_(const char *text, size_t length,
			    uint8_t bytes[BW_KEYS_ID_BYTES]);
static bool read_fields_(const char *text, const struct fields *fields,
			 struct bw_key *key, uint8_t mac[BW_KEYS_ID_BYTES]);
static void make_nonce_(struct bw_keys *keys, uint8_t nonce[BW_KEYS_ID_BYTES]);
static void hash_text_(crypto_generichash_state *state, const char *text);

enum bw_status bw_keys_mint(struct bw_keys *keys, const char *owner,
			    uint64_t incarnation, int64_t wall_ms,
			    char text[BW_KEYS_TEXT_MAX])
{
	uint8_t nonce[BW_KEYS_ID_BYTES];
	uint8_t mac[BW_KEYS_ID_BYTES];
	char nonce_hex[ID_HEX_CHARS + 1];
	char mac_hex[ID_HEX_CHARS + 1];
	char name[BW_NAME_MAX];
	int64_t expiry_ms;
	int length;

	text[0] = 0;
	if (!*owner || !bw_name_set(name, owner) || !incarnation ||
	    wall_ms < 0 || wall_ms >= BW_KEYS_WALL_END_MS / 2)
		return BW_EINVAL;
	expiry_ms = wall_ms + keys->config.validity_ms;
	make_nonce_(keys, nonce);
	sodium_bin2hex(nonce_hex, sizeof(nonce_hex), nonce, sizeof(nonce));
	length = snprintf(text, BW_KEYS_TEXT_MAX, "%s.%llx.%llx.%s", name,
			  (unsigned long long)incarnation,
			  (unsigned long long)expiry_ms, nonce_hex);
	crypto_generichash(mac, sizeof(mac), (const uint8_t *)text,
			   (size_t)length, keys->mac_key,
			   sizeof(keys->mac_key));
	sodium_bin2hex(mac_hex, sizeof(mac_hex), mac, sizeof(mac));
	assert((size_t)length + 1 + ID_HEX_CHARS < BW_KEYS_TEXT_MAX);
	snprintf(text + length, BW_KEYS_TEXT_MAX - (size_t)length, ".%s",
		 mac_hex);
	return BW_OK;
}

enum bw_status bw_keys_parse(const struct bw_keys *keys, const char *text,
			     int64_t wall_ms, struct bw_key *key)
{
	struct fields fields;
	uint8_t mac[BW_KEYS_ID_BYTES];
	uint8_t expected[BW_KEYS_ID_BYTES];

	memset(key, 0, sizeof(*key));
	if (!split_fields_(text, &fields) ||
	    !read_fields_(text, &fields, key, mac))
		return BW_EINVAL;
	crypto_generichash(expected, sizeof(expected), (const uint8_t *)text,
			   (size_t)(fields.start[3] - 1 - text), keys->mac_key,
			   sizeof(keys->mac_key));
	if (sodium_memcmp(mac, expected, sizeof(mac)))
		return BW_EDENIED;
	return wall_ms >= key->expiry_ms ? BW_ESTALE : BW_OK;
}

enum bw_status bw_keys_hash_caller_key(const struct bw_keys *keys,
				       const char *service,
				       const char *caller_key,
				       uint8_t id[BW_KEYS_ID_BYTES])
{
	crypto_generichash_state state;
	size_t length = strlen(caller_key);

	if (!length || length > BW_KEYS_CALLER_MAX_BYTES)
		return BW_EINVAL;
	crypto_generichash_init(&state, keys->id_key, sizeof(keys->id_key),
				BW_KEYS_ID_BYTES);
	hash_text_(&state, service);
	hash_text_(&state, caller_key);
	crypto_generichash_final(&state, id, BW_KEYS_ID_BYTES);
	return BW_OK;
}

enum bw_status bw_keys_from_binding(const uint8_t id[BW_KEYS_ID_BYTES],
				    const char *owner, uint64_t incarnation,
				    int64_t expiry_ms, struct bw_key *key)
{
	uint8_t copy[BW_KEYS_ID_BYTES];

	memcpy(copy, id, sizeof(copy));
	memset(key, 0, sizeof(*key));
	if (!*owner || !bw_name_set(key->owner, owner) || !incarnation ||
	    expiry_ms < 0 || expiry_ms >= BW_KEYS_WALL_END_MS)
		return BW_EINVAL;
	key->kind = BW_KEYS_BOUND;
	key->incarnation = incarnation;
	key->expiry_ms = expiry_ms;
	memcpy(key->id, copy, sizeof(key->id));
	return BW_OK;
}

void bw_keys_request_digest(const char *service, const char *method,
			    const char *path, const void *body_digest,
			    size_t body_digest_bytes,
			    uint8_t digest[BW_KEYS_ID_BYTES])
{
	crypto_generichash_state state;

	crypto_generichash_init(&state, NULL, 0, BW_KEYS_ID_BYTES);
	hash_text_(&state, DIGEST_DOMAIN);
	hash_text_(&state, service);
	hash_text_(&state, method);
	hash_text_(&state, path);
	if (body_digest_bytes)
		crypto_generichash_update(&state, body_digest,
					  body_digest_bytes);
	crypto_generichash_final(&state, digest, BW_KEYS_ID_BYTES);
}

/*
 * The incarnation is unique to this process and the counter is unique within
 * it, so the nonce needs no random number.
 */
static void make_nonce_(struct bw_keys *keys, uint8_t nonce[BW_KEYS_ID_BYTES])
{
	crypto_generichash_state state;

	keys->mint_count++;
	crypto_generichash_init(&state, keys->id_key, sizeof(keys->id_key),
				BW_KEYS_ID_BYTES);
	hash_text_(&state, keys->config.host);
	crypto_generichash_update(&state,
				  (const uint8_t *)&keys->config.incarnation,
				  sizeof(keys->config.incarnation));
	crypto_generichash_update(&state, (const uint8_t *)&keys->mint_count,
				  sizeof(keys->mint_count));
	crypto_generichash_final(&state, nonce, BW_KEYS_ID_BYTES);
}

/* Includes the terminating NUL, which separates consecutive strings. */
static void hash_text_(crypto_generichash_state *state, const char *text)
{
	crypto_generichash_update(state, (const uint8_t *)text,
				  strlen(text) + 1);
}

static bool split_fields_(const char *text, struct fields *fields)
{
	size_t length = strnlen(text, BW_KEYS_TEXT_MAX);
	const char *end = text + length;
	const char *dot;
	int i;

	if (length >= BW_KEYS_TEXT_MAX)
		return false;
	for (i = FIELD_COUNT - 1; i >= 0; i--) {
		dot = memrchr(text, '.', (size_t)(end - text));
		if (!dot)
			return false;
		fields->start[i] = dot + 1;
		fields->length[i] = (size_t)(end - dot - 1);
		end = dot;
	}
	fields->host_length = (size_t)(end - text);
	return true;
}

static bool read_fields_(const char *text, const struct fields *fields,
			 struct bw_key *key, uint8_t mac[BW_KEYS_ID_BYTES])
{
	uint64_t expiry = 0;

	if (!fields->host_length || fields->host_length >= BW_NAME_MAX)
		return false;
	memcpy(key->owner, text, fields->host_length);
	if (!read_hex_number_(fields->start[0], fields->length[0],
			      &key->incarnation) ||
	    !key->incarnation)
		return false;
	if (!read_hex_number_(fields->start[1], fields->length[1], &expiry) ||
	    expiry >= (uint64_t)BW_KEYS_WALL_END_MS)
		return false;
	key->expiry_ms = (int64_t)expiry;
	key->kind = BW_KEYS_MINTED;
	return read_hex_bytes_(fields->start[2], fields->length[2], key->id) &&
	       read_hex_bytes_(fields->start[3], fields->length[3], mac);
}

static bool read_hex_number_(const char *text, size_t length, uint64_t *value)
{
	static const char digits[] = "0123456789abcdef";
	const char *digit;
	size_t i;

	*value = 0;
	if (!length || length > 16)
		return false;
	for (i = 0; i < length; i++) {
		digit = memchr(digits, text[i], 16);
		if (!digit)
			return false;
		*value = (*value << 4) | (uint64_t)(digit - digits);
	}
	return true;
}

static bool read_hex_bytes_(const char *text, size_t length,
			    uint8_t bytes[BW_KEYS_ID_BYTES])
{
	size_t size = 0;

	return length == ID_HEX_CHARS &&
	       !sodium_hex2bin(bytes, BW_KEYS_ID_BYTES, text, length, NULL,
			       &size, NULL) &&
	       size == BW_KEYS_ID_BYTES;
}
