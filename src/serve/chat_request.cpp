#include "serve/chat_request.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <xxhash.h>

#include <algorithm>
#include <cctype>

namespace quincefall {
namespace {

namespace json = boost::json;

constexpr std::size_t prefixHashBytes = 256;
constexpr std::size_t bytesPerToken = 4;
constexpr std::size_t maxRequestIdChars = 64;

result<std::string> promptText(const json::object &body)
{
    const json::value *messages = body.if_contains("messages");
    if (messages == nullptr || !messages->is_array() || messages->get_array().empty())
        return makeError(result_code::malformedRequest, "messages: expected a list of messages");
    std::string text;
    for (const json::value &message : messages->get_array()) {
        const json::object *object = message.if_object();
        const json::value *content = object == nullptr ? nullptr : object->if_contains("content");
        if (content == nullptr || !content->is_string())
            return makeError(result_code::malformedRequest,
                             "messages: expected a string as \"content\" of each message");
        text += content->get_string();
    }
    return text;
}

} // namespace

result<chat_request> parseChatRequest(std::string_view body)
{
    boost::system::error_code failure;
    json::value parsed = json::parse(body, failure);
    if (failure || !parsed.is_object())
        return makeError(result_code::malformedRequest, "the body is not a JSON object");
    json::object &object = parsed.get_object();
    const json::value *model = object.if_contains("model");
    if (model == nullptr || !model->is_string())
        return makeError(result_code::malformedRequest, "model: expected a string");
    const json::value *stream = object.if_contains("stream");
    if (stream != nullptr && !stream->is_bool())
        return makeError(result_code::malformedRequest, "stream: expected true or false");
    const auto text = promptText(object);
    if (!text)
        return tl::unexpected(text.error());
    chat_request request;
    request.model = std::string(model->get_string());
    request.isStreamed = stream != nullptr && stream->get_bool();
    request.prefixHash = XXH64(text->data(), std::min(text->size(), prefixHashBytes), 0);
    request.promptTokens = std::uint32_t(text->size() / bytesPerToken + 1);
    object["stream"] = true;
    request.engineBody = json::serialize(object);
    request.digest = XXH64(request.engineBody.data(), request.engineBody.size(), 0);
    return request;
}

bool isRequestId(std::string_view text)
{
    const auto isAllowed = [](unsigned char letter) {
        return std::isalnum(letter) != 0 || letter == '.' || letter == '_' || letter == '-';
    };
    return !text.empty() && text.size() <= maxRequestIdChars
        && std::all_of(text.begin(), text.end(), isAllowed);
}

} // namespace quincefall
