#include "protocol/http_response_check.h"

#include <assert.h>
#include <string.h>
#include <strings.h>

#define STATUS_DIGITS 3
#define STATUS_MIN 100
#define STATUS_MAX 599
#define STATUS_SWITCHING_PROTOCOLS 101

/* Of a size of 64 bits. */
#define CHUNK_SIZE_DIGITS_MAX 16
#define TRANSFER_CODING "Transfer-Encoding"

static const char version[] = "HTTP/1.";

/* `tamarackgwctl explain` knows the texts by this beginning. */
#define INVALID "the answer can't be read: "

static const struct {
	const char *name;
	const char *text;
} defects[HTTP_DEFECTS] = {
	[HTTP_DEFECT_NONE] = {"none", "the answer is valid HTTP"},
	[HTTP_DEFECT_STATUS_LINE] = {"status_line", INVALID
				     "its status line is none of HTTP/1"},
	[HTTP_DEFECT_STATUS] = {"status", INVALID "its status is none from 100 "
						  "to 599 that may be sent"},
	[HTTP_DEFECT_FIELD_NAME] = {"field_name",
				    INVALID "the name of a field has a blank "
					    "or another byte that none has"},
	[HTTP_DEFECT_FIELD_VALUE] = {"field_value",
				     INVALID "the value of a field has a "
					     "control character"},
	[HTTP_DEFECT_FOLDED_LINE] = {"folded_line",
				     INVALID "a line of a field begins with a "
					     "blank"},
	[HTTP_DEFECT_TRANSFER_CODING] = {"transfer_coding",
					 INVALID "its transfer coding is not "
						 "chunked alone"},
	[HTTP_DEFECT_CHUNK] = {"chunk",
			       INVALID "a chunk has no valid size or end"},
	[HTTP_DEFECT_TOO_LONG] = {"too_long",
				  INVALID "its heads, a trailer or a chunk "
					  "extension have over 64 KB"},
	[HTTP_DEFECT_FRAMING] = {"framing",
				 INVALID "its length, or the end of its "
					 "fields, is not valid"},
};

const char *http_defect_name(enum http_defect defect)
{
	return defects[defect].name;
}

const char *http_defect_text(enum http_defect defect)
{
	return defects[defect].text;
}

static bool refuse(struct http_response_check *check, enum http_defect defect)
{
	check->defect = defect;
	return false;
}

static bool enter(struct http_response_check *check,
		  enum http_response_state state)
{
	check->state = state;
	check->count = 0;
	return true;
}

/* Enters a state after the one byte that may precede it. */
static bool expect(struct http_response_check *check, char c, char expected,
		   enum http_response_state next, enum http_defect defect)
{
	return c == expected ? enter(check, next) : refuse(check, defect);
}

static bool is_digit(char c)
{
	return c >= '0' && c <= '9';
}

static bool is_blank(char c)
{
	return c == ' ' || c == '\t';
}

/* Whether a token may have the character (RFC 9110, 5.6.2). */
static bool is_token_char(char c)
{
	if (is_digit(c) || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z'))
		return true;
	return c && strchr("!#$%&'*+-.^_`|~", c);
}

/* What a value, reason or extension may have: all but control characters other
 * than a tab. */
static bool is_text_char(char c)
{
	unsigned char byte = (unsigned char)c;

	return byte == '\t' || (byte >= ' ' && byte != 0x7f);
}

static bool check_version(struct http_response_check *check, char c)
{
	if (c != version[check->count])
		return refuse(check, HTTP_DEFECT_STATUS_LINE);
	if (++check->count == strlen(version))
		enter(check, HTTP_RESPONSE_MINOR_VERSION);
	return true;
}

static bool check_minor_version(struct http_response_check *check, char c)
{
	if (!is_digit(c))
		return refuse(check, HTTP_DEFECT_STATUS_LINE);
	check->is_http_1_0 = c == '0';
	return enter(check, HTTP_RESPONSE_STATUS_BLANK);
}

static bool check_status_blank(struct http_response_check *check, char c)
{
	if (c != ' ')
		return refuse(check, HTTP_DEFECT_STATUS_LINE);
	check->status = 0;
	return enter(check, HTTP_RESPONSE_STATUS);
}

/* No request of a host asks to switch protocols. */
static bool status_may_be_sent(int status)
{
	return status >= STATUS_MIN && status <= STATUS_MAX &&
	       status != STATUS_SWITCHING_PROTOCOLS;
}

static bool check_status(struct http_response_check *check, char c)
{
	if (!is_digit(c))
		return refuse(check, HTTP_DEFECT_STATUS);
	check->status = check->status * 10 + (c - '0');
	if (++check->count < STATUS_DIGITS)
		return true;
	if (!status_may_be_sent(check->status))
		return refuse(check, HTTP_DEFECT_STATUS);
	return enter(check, HTTP_RESPONSE_STATUS_END);
}

/* A line may end with LF alone (RFC 9112, 2.2). */
static bool check_reason(struct http_response_check *check, char c)
{
	if (c == '\r')
		return enter(check, HTTP_RESPONSE_STATUS_LINE_LF);
	if (c == '\n')
		return enter(check, HTTP_RESPONSE_LINE_START);
	return is_text_char(c) || refuse(check, HTTP_DEFECT_STATUS_LINE);
}

/* Servers leave out the blank before a reason that is empty. */
static bool check_status_end(struct http_response_check *check, char c)
{
	if (c == ' ')
		return enter(check, HTTP_RESPONSE_REASON);
	if (c == '\r' || c == '\n')
		return check_reason(check, c);
	return refuse(check, HTTP_DEFECT_STATUS);
}

static bool check_status_line_lf(struct http_response_check *check, char c)
{
	return expect(check, c, '\n', HTTP_RESPONSE_LINE_START,
		      HTTP_DEFECT_STATUS_LINE);
}

static bool check_name(struct http_response_check *check, char c)
{
	if (c == ':')
		return enter(check, HTTP_RESPONSE_VALUE);
	return is_token_char(c) || refuse(check, HTTP_DEFECT_FIELD_NAME);
}

static bool check_value(struct http_response_check *check, char c)
{
	if (c == '\r')
		return enter(check, HTTP_RESPONSE_LINE_LF);
	if (c == '\n')
		return enter(check, HTTP_RESPONSE_LINE_START);
	return is_text_char(c) || refuse(check, HTTP_DEFECT_FIELD_VALUE);
}

static bool check_line_lf(struct http_response_check *check, char c)
{
	return expect(check, c, '\n', HTTP_RESPONSE_LINE_START,
		      HTTP_DEFECT_FIELD_VALUE);
}

static bool end_fields(struct http_response_check *check)
{
	return enter(check, check->in_trailer ? HTTP_RESPONSE_AFTER_TRAILER
					      : HTTP_RESPONSE_AFTER_HEAD);
}

/* A line that goes on with the value of the one before may not be sent (RFC
 * 9112, 5.2). */
static bool check_line_start(struct http_response_check *check, char c)
{
	if (c == '\r')
		return enter(check, HTTP_RESPONSE_EMPTY_LINE_LF);
	if (c == '\n')
		return end_fields(check);
	if (is_blank(c))
		return refuse(check, HTTP_DEFECT_FOLDED_LINE);
	if (!is_token_char(c))
		return refuse(check, HTTP_DEFECT_FIELD_NAME);
	return enter(check, HTTP_RESPONSE_NAME);
}

static bool check_empty_line_lf(struct http_response_check *check, char c)
{
	if (c != '\n')
		return refuse(check, HTTP_DEFECT_FRAMING);
	return end_fields(check);
}

/* @return the value of a hexadecimal digit, or -1 */
static int hex_value(char c)
{
	if (is_digit(c))
		return c - '0';
	if (c >= 'a' && c <= 'f')
		return c - 'a' + 10;
	if (c >= 'A' && c <= 'F')
		return c - 'A' + 10;
	return -1;
}

static bool check_chunk_size(struct http_response_check *check, char c)
{
	int digit = hex_value(c);

	if (digit >= 0 && check->count < CHUNK_SIZE_DIGITS_MAX) {
		check->chunk_bytes = check->chunk_bytes * 16 + (uint64_t)digit;
		check->count++;
		return true;
	}
	if (digit >= 0 || !check->count)
		return refuse(check, HTTP_DEFECT_CHUNK);
	if (c == '\r')
		return enter(check, HTTP_RESPONSE_CHUNK_SIZE_LF);
	if (c == ';' || is_blank(c))
		return enter(check, HTTP_RESPONSE_CHUNK_EXTENSION);
	return refuse(check, HTTP_DEFECT_CHUNK);
}

static bool check_chunk_extension(struct http_response_check *check, char c)
{
	if (c == '\r')
		return enter(check, HTTP_RESPONSE_CHUNK_SIZE_LF);
	return is_text_char(c) || refuse(check, HTTP_DEFECT_CHUNK);
}

/* The last chunk is empty, and a trailer follows it. */
static bool check_chunk_size_lf(struct http_response_check *check, char c)
{
	if (c != '\n')
		return refuse(check, HTTP_DEFECT_CHUNK);
	check->in_trailer = !check->chunk_bytes;
	return enter(check, check->in_trailer ? HTTP_RESPONSE_LINE_START
					      : HTTP_RESPONSE_CHUNK);
}

static bool check_chunk_cr(struct http_response_check *check, char c)
{
	return expect(check, c, '\r', HTTP_RESPONSE_CHUNK_LF,
		      HTTP_DEFECT_CHUNK);
}

static bool begin_chunk(struct http_response_check *check)
{
	check->chunk_bytes = 0;
	check->line_bytes = 0;
	return enter(check, HTTP_RESPONSE_CHUNK_SIZE);
}

static bool check_chunk_lf(struct http_response_check *check, char c)
{
	if (c != '\n')
		return refuse(check, HTTP_DEFECT_CHUNK);
	return begin_chunk(check);
}

/* Each checks one byte in a state, and enters the next state.
 * @return false if the byte is a defect */
static bool (*const checks[])(struct http_response_check *check, char c) = {
	[HTTP_RESPONSE_VERSION] = check_version,
	[HTTP_RESPONSE_MINOR_VERSION] = check_minor_version,
	[HTTP_RESPONSE_STATUS_BLANK] = check_status_blank,
	[HTTP_RESPONSE_STATUS] = check_status,
	[HTTP_RESPONSE_STATUS_END] = check_status_end,
	[HTTP_RESPONSE_REASON] = check_reason,
	[HTTP_RESPONSE_STATUS_LINE_LF] = check_status_line_lf,
	[HTTP_RESPONSE_LINE_START] = check_line_start,
	[HTTP_RESPONSE_NAME] = check_name,
	[HTTP_RESPONSE_VALUE] = check_value,
	[HTTP_RESPONSE_LINE_LF] = check_line_lf,
	[HTTP_RESPONSE_EMPTY_LINE_LF] = check_empty_line_lf,
	[HTTP_RESPONSE_CHUNK_SIZE] = check_chunk_size,
	[HTTP_RESPONSE_CHUNK_EXTENSION] = check_chunk_extension,
	[HTTP_RESPONSE_CHUNK_SIZE_LF] = check_chunk_size_lf,
	[HTTP_RESPONSE_CHUNK_CR] = check_chunk_cr,
	[HTTP_RESPONSE_CHUNK_LF] = check_chunk_lf,
};

/* @return how many of the bytes are content of the present chunk */
static size_t skip_chunk(struct http_response_check *check, size_t size)
{
	size_t content = size < check->chunk_bytes ? size : check->chunk_bytes;

	check->chunk_bytes -= content;
	if (!check->chunk_bytes)
		enter(check, HTTP_RESPONSE_CHUNK_CR);
	return content;
}

static bool is_at_end(const struct http_response_check *check)
{
	return check->state == HTTP_RESPONSE_AFTER_HEAD ||
	       check->state == HTTP_RESPONSE_AFTER_TRAILER;
}

static bool counts_bytes(enum http_response_state state)
{
	return state < HTTP_RESPONSE_AFTER_HEAD ||
	       state == HTTP_RESPONSE_CHUNK_EXTENSION;
}

static bool check_byte(struct http_response_check *check, char c)
{
	if (counts_bytes(check->state) &&
	    ++check->line_bytes > HTTP_RESPONSE_LINES_MAX_BYTES)
		return refuse(check, HTTP_DEFECT_TOO_LONG);
	return checks[check->state](check, c);
}

size_t http_response_check_feed(struct http_response_check *check,
				const char *data, size_t size)
{
	size_t valid = 0;

	if (check->state == HTTP_RESPONSE_BODY)
		return size;
	/* An owner may feed the byte of a defect again. */
	while (valid < size && !is_at_end(check) && !check->defect) {
		if (check->state == HTTP_RESPONSE_CHUNK)
			valid += skip_chunk(check, size - valid);
		else if (check_byte(check, data[valid]))
			valid++;
		else
			break;
	}
	return valid;
}

/* @return whether a value is this word, maybe with blanks after it */
static bool is_word(const char *value, const char *word)
{
	size_t size = strlen(word);

	return !strncasecmp(value, word, size) &&
	       !value[size + strspn(value + size, " \t")];
}

/* What has another coding can't be told from content, since its field ends at
 * the host (RFC 9112, 6.1). */
bool http_response_check_codings(struct http_response_check *check,
				 const struct http_head *head, bool is_chunked)
{
	const char *coding = http_head_find(head, TRANSFER_CODING);

	if (!coding)
		return true;
	if (is_chunked && !check->is_http_1_0 && is_word(coding, "chunked") &&
	    http_head_count(head, TRANSFER_CODING) == 1)
		return true;
	return refuse(check, HTTP_DEFECT_TRANSFER_CODING);
}

void http_response_check_begin_body(struct http_response_check *check,
				    bool is_chunked)
{
	assert(check->state == HTTP_RESPONSE_AFTER_HEAD);
	if (is_chunked)
		begin_chunk(check);
	else
		enter(check, HTTP_RESPONSE_BODY);
}

void http_response_check_begin_head(struct http_response_check *check)
{
	check->in_trailer = false;
	enter(check, HTTP_RESPONSE_VERSION);
}
