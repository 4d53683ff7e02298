/**
 * @file http_response_check.h
 * Checks that the bytes that a server sends are HTTP/1 responses (RFC 9112), in
 * front of a parser that is more lenient: what is no valid HTTP is no answer.
 *
 * It covers status lines and header fields, of interim responses as well, and
 * the chunks and trailers of bodies. What a length may be is left to the
 * parser.
 */
#ifndef PROTOCOL_HTTP_RESPONSE_CHECK_H
#define PROTOCOL_HTTP_RESPONSE_CHECK_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "protocol/http_head.h"

/** What is wrong with a response. */
enum http_defect {
	HTTP_DEFECT_NONE,
	HTTP_DEFECT_STATUS_LINE,
	/** The status has not three digits, or is none that may be sent. */
	HTTP_DEFECT_STATUS,
	HTTP_DEFECT_FIELD_NAME,	 /**< not a token, or a blank follows it */
	HTTP_DEFECT_FIELD_VALUE, /**< a control character */
	HTTP_DEFECT_FOLDED_LINE, /**< it begins with a blank */
	/** A coding that hosts can't take off, or HTTP/1.0 does not know. */
	HTTP_DEFECT_TRANSFER_CODING,
	HTTP_DEFECT_CHUNK,    /**< its size, or what follows it */
	HTTP_DEFECT_TOO_LONG, /**< see HTTP_RESPONSE_LINES_MAX_BYTES */
	HTTP_DEFECT_FRAMING,  /**< another one, found by the parser */
	HTTP_DEFECTS
};

/** @return the name of the defect in metrics */
const char *http_defect_name(enum http_defect defect);

/** @return what is wrong with such an answer, for logs and callers; a static
 * text without quotation marks */
const char *http_defect_text(enum http_defect defect);

/** What the next byte belongs to. */
enum http_response_state {
	HTTP_RESPONSE_VERSION,
	HTTP_RESPONSE_MINOR_VERSION,
	HTTP_RESPONSE_STATUS_BLANK,
	HTTP_RESPONSE_STATUS,
	HTTP_RESPONSE_STATUS_END,
	HTTP_RESPONSE_REASON,
	HTTP_RESPONSE_STATUS_LINE_LF,
	HTTP_RESPONSE_LINE_START,
	HTTP_RESPONSE_NAME,
	HTTP_RESPONSE_VALUE,
	HTTP_RESPONSE_LINE_LF,
	HTTP_RESPONSE_EMPTY_LINE_LF,
	HTTP_RESPONSE_AFTER_HEAD, /**< see http_response_check_feed() */
	HTTP_RESPONSE_BODY,	  /**< not in chunks: all of it is content */
	HTTP_RESPONSE_CHUNK_SIZE,
	HTTP_RESPONSE_CHUNK_EXTENSION,
	HTTP_RESPONSE_CHUNK_SIZE_LF,
	HTTP_RESPONSE_CHUNK,
	HTTP_RESPONSE_CHUNK_CR,
	HTTP_RESPONSE_CHUNK_LF,
	HTTP_RESPONSE_AFTER_TRAILER,
};

/** The heads of all responses to one request, interim ones included, have
 * together at most so many bytes. So have the extension of one chunk, and a
 * trailer. */
#define HTTP_RESPONSE_LINES_MAX_BYTES (64 * 1024)

/** The responses to one request; zeroed before their first byte. */
struct http_response_check {
	enum http_response_state state;
	uint32_t count; /**< of characters in this state */
	int status;	/**< of the present response */
	bool is_http_1_0;
	bool in_trailer;
	uint32_t line_bytes;  /**< see HTTP_RESPONSE_LINES_MAX_BYTES */
	uint64_t chunk_bytes; /**< of the present chunk, to come */
	enum http_defect defect;
};

/** Checks the next bytes.
 * @return how many of them are valid. The check stops after a head: the owner
 * says by http_response_check_begin_body() or http_response_check_begin_head()
 * what follows. It stops after a trailer as well. If it stops elsewhere,
 * `defect` says why. */
size_t http_response_check_feed(struct http_response_check *check,
				const char *data, size_t size);

/** Checks how the body is coded, once the fields of the head are known.
 * @param is_chunked whether the parser will read it in chunks
 * @return false for a defect */
bool http_response_check_codings(struct http_response_check *check,
				 const struct http_head *head, bool is_chunked);

/** A body follows the head. */
void http_response_check_begin_body(struct http_response_check *check,
				    bool is_chunked);

/** The head of another response to the request follows. */
void http_response_check_begin_head(struct http_response_check *check);

#endif
