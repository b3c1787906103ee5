#include "clients/message_framing.h"

#include <algorithm>

namespace quincefall {
namespace {

namespace http = boost::beast::http;

// The first version with transfer codings (RFC 9112, 6.1).
constexpr unsigned transferCodingVersion = 11;
constexpr unsigned firstStatus = 100;
constexpr unsigned firstFinalStatus = 200;
constexpr unsigned lastStatus = 599;

bool isDigit(char character)
{
    return character >= '0' && character <= '9';
}

} // namespace

bool hasKnownTransferCoding(const http::fields &fields, unsigned version)
{
    const auto codings = fields.count(http::field::transfer_encoding);
    if (codings == 0)
        return true;
    // With a length as well, other recipients may see another end of the message.
    return codings == 1 && version >= transferCodingVersion
        && fields.count(http::field::content_length) == 0
        && boost::beast::iequals(fields[http::field::transfer_encoding], "chunked");
}

bool hasPlainLength(const http::fields &fields, unsigned version)
{
    const auto lengths = fields.count(http::field::content_length);
    const auto length = fields[http::field::content_length];
    return lengths <= 1 && std::all_of(length.begin(), length.end(), isDigit)
        && hasKnownTransferCoding(fields, version);
}

head_fault faultOfHead(const http::response_header<> &head)
{
    const unsigned status = head.result_int();
    if (status < firstStatus || status > lastStatus)
        return head_fault::status;
    if (head.result() == http::status::switching_protocols)
        return head_fault::protocol;
    const bool isFinal = status >= firstFinalStatus;
    if (isFinal && !hasKnownTransferCoding(head, head.version()))
        return head_fault::transferCoding;
    return head_fault::none;
}

bool hasFoldedField(std::string_view lines)
{
    return lines.find("\r\n ") != std::string_view::npos
        || lines.find("\r\n\t") != std::string_view::npos;
}

} // namespace quincefall
