#include "standin/engine_orders.h"
#include "standin/json_fields.h"
#include "standin/load_history.h"
#include "standin/prefix_cache.h"
#include "standin/role.h"
#include "standin/token_text.h"
#include "standin/weights_client.h"

#include <boost/asio.hpp>
#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <charconv>
#include <list>
#include <map>

namespace quincefall::standin {
namespace {

namespace net = boost::asio;
namespace json = boost::json;
using std::chrono::steady_clock;

constexpr std::int64_t bytesPerPromptToken = 4;
constexpr std::int64_t kvBytesPerPrefix = 1'048'576;
constexpr int cachedFirstTokenDivisor = 5; ///< Divides the first-token delay of a cached prefix.
constexpr int defaultPriority = 100; ///< Without X-Priority. Lower values run first.
constexpr seconds weightsRetryDelay(1);

/// A completion request, parsed from its body and headers.
struct completion_request
{
    std::string requestId;
    std::string attemptId;
    std::string model;
    std::string adapter;
    std::string prompt;
    std::int64_t tokens = 0;
    std::int64_t resumeAfter = 0;
    int priority = defaultPriority;
    bool stream = false;

    std::int64_t promptTokens() const
    {
        return (std::int64_t(prompt.size()) + bytesPerPromptToken - 1) / bytesPerPromptToken;
    }
};

/// One attempt at a request. Exists from its arrival until its response has ended.
struct attempt
{
    attempt(net::io_context &context, completion_request wanted)
        : request(std::move(wanted))
        , text(request.prompt)
        , changed(context)
    {
    }

    completion_request request;
    token_text text;
    wake_signal changed;
    bool running = false;
    bool cancelled = false;
    bool disconnected = false; ///< The caller closed the connection.
    std::int64_t generated = 0;

    bool ended() const { return cancelled || disconnected; }
};

/// Totals over all attempts with one request id, as /admin/runs reports them.
struct request_counts
{
    std::int64_t attempts = 0;
    std::int64_t tokens = 0;
    std::int64_t cancelled = 0;
    std::int64_t completed = 0;
};

class engine_standin
{
public:
    engine_standin(net::io_context &context, http_server &server, const role_options &options)
        : m_context(context)
        , m_server(server)
        , m_options(options)
        , m_cache(std::size_t(options.cachedPrefixes))
    {
        for (const std::string &model : options.models)
            addInitialModel(m_orders, model);
    }

    net::awaitable<void> handle(std::shared_ptr<http_exchange> exchange);

private:
    net::awaitable<void> handleCompletion(std::shared_ptr<http_exchange> exchange);
    net::awaitable<void> runAttempt(std::shared_ptr<http_exchange> exchange, attempt &work);
    net::awaitable<void> generateTokens(std::shared_ptr<http_exchange> exchange, attempt &work);
    net::awaitable<void> finishResponse(std::shared_ptr<http_exchange> exchange, attempt &work);
    net::awaitable<void> waitForSlot(attempt &work);
    net::awaitable<void> waitWhileStalled(attempt &work, std::int64_t sent);
    net::awaitable<void> handleOrder(std::shared_ptr<http_exchange> exchange);
    net::awaitable<void> loadModel(engine_order order);

    std::string formatEvents(const attempt &work, std::int64_t from, std::int64_t to) const;
    milliseconds firstTokenDelay(const attempt &work);
    bool cancel(std::string_view requestId, std::string_view attemptId);
    void grantSlots();
    void finishAttempt(attempt &work);
    void recordLoad();
    std::int64_t waitingCount() const;
    json::value describeLoad() const;
    json::value describeModels() const;
    json::value describeRuns() const;
    json::value describeKv(std::string_view body, bool importing, int &status);

    net::io_context &m_context;
    http_server &m_server;
    role_options m_options;
    prefix_cache m_cache;
    engine_orders m_orders;
    load_history m_loadHistory;
    std::list<attempt *> m_attempts; ///< Waiting and running, in order of arrival.
    std::map<std::string, request_counts> m_counts; ///< By request id.
    std::int64_t m_running = 0;
    std::int64_t m_generatedTokens = 0;
    std::int64_t m_wastedTokens = 0;
};

std::int64_t parseNumber(std::string_view text, std::int64_t fallback)
{
    std::int64_t value = fallback;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

std::string promptOf(const json::object &body)
{
    std::string prompt;
    const json::value *messages = body.if_contains("messages");
    if (messages == nullptr || !messages->is_array())
        return prompt;
    for (const json::value &message : messages->get_array()) {
        if (message.is_object())
            prompt += textField(message.get_object(), "content");
    }
    return prompt;
}

completion_request parseCompletion(const http_exchange &exchange, const json::object &body,
                                   std::int64_t defaultTokens)
{
    completion_request request;
    request.requestId = exchange.header("X-Request-Id");
    request.attemptId = exchange.header("X-Attempt-Id");
    request.model = textField(body, "model");
    request.adapter = textField(body, "adapter");
    request.prompt = promptOf(body);
    request.tokens = std::max<std::int64_t>(0, numberField(body, "max_tokens", defaultTokens));
    request.resumeAfter
        = std::max<std::int64_t>(0, parseNumber(exchange.header("Last-Event-ID"), 0));
    request.priority = int(parseNumber(exchange.header("X-Priority"), defaultPriority));
    request.stream = flagField(body, "stream");
    return request;
}

json::object usageOf(const completion_request &request)
{
    return {{"prompt_tokens", request.promptTokens()},
            {"completion_tokens", request.tokens},
            {"total_tokens", request.promptTokens() + request.tokens}};
}

/// Text of a token's event before the token. The token follows without JSON escaping, which its
/// characters don't need, and eventTail ends the event.
std::string eventHead(std::string_view requestId, std::string_view model)
{
    return R"(data: {"id":)" + json::serialize(json::value(requestId))
        + R"(,"object":"chat.completion.chunk","model":)" + json::serialize(json::value(model))
        + R"(,"choices":[{"index":0,"delta":{"content":")";
}
constexpr std::string_view eventTail = "\"},\"finish_reason\":null}]}\n\n";

std::string finalEvents(const completion_request &request, std::string_view finishReason)
{
    json::object choice{{"index", 0}, {"delta", json::object()}, {"finish_reason", finishReason}};
    const json::object event{{"id", request.requestId},
                             {"object", "chat.completion.chunk"},
                             {"model", request.model},
                             {"choices", json::array{std::move(choice)}},
                             {"usage", usageOf(request)}};
    return "id: " + std::to_string(request.tokens) + "\ndata: " + json::serialize(event)
        + "\n\ndata: [DONE]\n\n";
}

net::awaitable<void> engine_standin::handle(std::shared_ptr<http_exchange> exchange)
{
    const std::string_view path = exchange->path();
    const bool isPost = exchange->method() == "POST";
    int status = 200;
    json::value body;
    if (isPost && path == "/v1/chat/completions") {
        co_await handleCompletion(exchange);
        co_return;
    }
    if (isPost && path == "/orders") {
        co_await handleOrder(exchange);
        co_return;
    }
    if (isPost && path == "/cancel") {
        const json::object wanted = parseObject(exchange->body()).value_or(json::object());
        body = {{"cancelled",
                 cancel(textField(wanted, "request_id"), textField(wanted, "attempt_id"))}};
    } else if (isPost && (path == "/kv/export" || path == "/kv/import")) {
        body = describeKv(exchange->body(), path == "/kv/import", status);
    } else if (path == "/v1/models") {
        body = describeModels();
    } else if (path == "/load") {
        body = describeLoad();
    } else if (path == "/cache_events") {
        const std::int64_t from = parseNumber(exchange->query("from"), 0);
        body = {{"next", m_cache.nextEvent()},
                {"events", m_cache.events(from, m_server.faults().eventGap)}};
    } else if (path == "/orders") {
        body = describeOrders(m_orders, m_options.checksFencing);
    } else if (path == "/admin/orders") {
        body = describeHistory(m_orders);
    } else if (path == "/admin/runs") {
        body = describeRuns();
    } else {
        status = 404;
        body = {{"error", "unknown path"}};
    }
    co_await exchange->reply(status, std::move(body));
}

net::awaitable<void> engine_standin::handleCompletion(std::shared_ptr<http_exchange> exchange)
{
    const auto body = parseObject(exchange->body());
    int status = 200;
    std::string detail;
    std::vector<http_header> headers;
    completion_request request;
    if (!body) {
        status = 400;
        detail = "the body is not a JSON object";
    } else {
        request = parseCompletion(*exchange, *body, m_options.defaultTokens);
        headers.push_back({"X-Attempt-Id", request.attemptId});
        if (!serves(m_orders, request.model, request.adapter)) {
            status = 404;
            detail = "the model is not loaded";
        } else if (m_running >= m_options.slots && waitingCount() >= m_options.maxWaiting) {
            status = 503;
            detail = "the queue is full";
            headers.push_back({"Retry-After", "1"});
        }
    }
    if (status != 200) {
        json::value problem{{"error", detail}};
        co_await exchange->reply(status, std::move(problem), std::move(headers));
        co_return;
    }
    attempt work(m_context, std::move(request));
    ++m_counts[work.request.requestId].attempts;
    m_attempts.push_back(&work);
    exchange->setDisconnectListener([&work] {
        work.disconnected = true;
        work.changed.notify();
    });
    co_await runAttempt(exchange, work);
    exchange->setDisconnectListener(nullptr);
    finishAttempt(work);
}

net::awaitable<void> engine_standin::runAttempt(std::shared_ptr<http_exchange> exchange,
                                                attempt &work)
{
    std::vector<http_header> headers{{"X-Attempt-Id", work.request.attemptId}};
    co_await waitForSlot(work);
    if (work.disconnected)
        co_return;
    if (work.cancelled && !work.running) {
        json::value body{{"error", "cancelled"}};
        co_await exchange->reply(409, std::move(body), std::move(headers));
        co_return;
    }
    const auto firstTokenAt = steady_clock::now() + firstTokenDelay(work);
    while (!work.ended() && steady_clock::now() < firstTokenAt)
        co_await work.changed.wait(firstTokenAt);
    if (work.request.stream)
        co_await exchange->beginStream(std::move(headers));
    co_await generateTokens(exchange, work);
    co_await finishResponse(exchange, work);
}

net::awaitable<void> engine_standin::generateTokens(std::shared_ptr<http_exchange> exchange,
                                                    attempt &work)
{
    const completion_request &request = work.request;
    std::int64_t sent = request.resumeAfter;
    auto nextTokenAt = steady_clock::now();
    while (sent < request.tokens && !work.ended()) {
        const milliseconds delay = m_server.faults().tokenDelay.value_or(m_options.tokenDelay);
        const std::int64_t batchSize = delay.count() > 0 ? 1 : m_options.tokensPerWrite;
        std::int64_t end = std::min(request.tokens, sent + std::max<std::int64_t>(1, batchSize));
        if (const auto cut = m_server.faults().cutAfter) {
            end = std::min(end, request.resumeAfter + *cut);
            if (end <= sent) {
                exchange->abort();
                co_return;
            }
        }
        if (const auto stall = m_server.faults().stallAfter) {
            end = std::min(end, request.resumeAfter + *stall);
            if (end <= sent) {
                co_await waitWhileStalled(work, sent - request.resumeAfter);
                nextTokenAt = steady_clock::now();
                continue;
            }
        }
        work.generated += end - sent;
        m_generatedTokens += end - sent;
        if (request.stream) {
            std::string events = formatEvents(work, sent + 1, end);
            co_await exchange->write(std::move(events));
        }
        sent = end;
        nextTokenAt += delay;
        while (sent < request.tokens && !work.ended() && steady_clock::now() < nextTokenAt)
            co_await work.changed.wait(nextTokenAt);
    }
}

net::awaitable<void> engine_standin::waitWhileStalled(attempt &work, std::int64_t sent)
{
    const auto stalled = [&] {
        const auto limit = m_server.faults().stallAfter;
        return limit && sent >= *limit;
    };
    constexpr milliseconds pollInterval(20);
    while (!work.ended() && stalled())
        co_await work.changed.wait(steady_clock::now() + pollInterval);
}

net::awaitable<void> engine_standin::finishResponse(std::shared_ptr<http_exchange> exchange,
                                                    attempt &work)
{
    const completion_request &request = work.request;
    if (work.disconnected || exchange->closed())
        co_return;
    if (request.stream) {
        // A cancelled stream ends without the final events, so that it isn't taken for complete.
        std::string last = work.cancelled ? std::string() : finalEvents(request, "stop");
        co_await exchange->write(std::move(last));
        co_await exchange->finish();
    } else {
        std::string content;
        for (std::int64_t i = 1; i <= request.tokens; ++i)
            content += work.text.token(i);
        json::object message{{"role", "assistant"}, {"content", std::move(content)}};
        json::object choice{
            {"index", 0}, {"message", std::move(message)}, {"finish_reason", "stop"}};
        json::value body{{"id", request.requestId},
                         {"object", "chat.completion"},
                         {"model", request.model},
                         {"choices", json::array{std::move(choice)}},
                         {"usage", usageOf(request)}};
        int status = 200;
        if (work.cancelled) {
            status = 409;
            body = {{"error", "cancelled"}};
        }
        std::vector<http_header> headers{{"X-Attempt-Id", request.attemptId}};
        co_await exchange->reply(status, std::move(body), std::move(headers));
    }
    if (!work.ended())
        ++m_counts[request.requestId].completed;
}

std::string engine_standin::formatEvents(const attempt &work, std::int64_t from,
                                         std::int64_t to) const
{
    const fault_set &faults = m_server.faults();
    const std::string head = eventHead(work.request.requestId, work.request.model);
    std::string events;
    for (std::int64_t i = from; i <= to; ++i) {
        const std::string id = "id: " + std::to_string(i) + "\n";
        const std::string event = id + head + work.text.token(i) + std::string(eventTail);
        if (faults.crossFrames > 0 && i % faults.crossFrames == 0) {
            events += id + eventHead("crossed-" + work.request.requestId, work.request.model);
            events += " crossed";
            events += eventTail;
        }
        events += event;
        if (faults.duplicateFrames > 0 && i % faults.duplicateFrames == 0)
            events += event;
    }
    return events;
}

net::awaitable<void> engine_standin::waitForSlot(attempt &work)
{
    grantSlots();
    recordLoad();
    while (!work.running && !work.ended())
        co_await work.changed.wait();
}

/// Starts waiting attempts while slots are free, in order of priority, then of arrival.
void engine_standin::grantSlots()
{
    while (m_running < m_options.slots) {
        attempt *best = nullptr;
        for (attempt *each : m_attempts) {
            const bool isWaiting = !each->running && !each->ended();
            if (isWaiting && (best == nullptr || each->request.priority < best->request.priority))
                best = each;
        }
        if (best == nullptr)
            return;
        best->running = true;
        ++m_running;
        best->changed.notify();
    }
}

void engine_standin::finishAttempt(attempt &work)
{
    if (work.running)
        --m_running;
    m_attempts.remove(&work);
    request_counts &counts = m_counts[work.request.requestId];
    counts.tokens += work.generated;
    if (work.cancelled)
        ++counts.cancelled;
    if (work.ended())
        m_wastedTokens += work.generated;
    grantSlots();
    recordLoad();
}

milliseconds engine_standin::firstTokenDelay(const attempt &work)
{
    const bool cached = m_cache.use(prefixHash(work.request.prompt));
    const milliseconds delay
        = m_server.faults().firstTokenDelay.value_or(m_options.firstTokenDelay);
    return cached ? delay / cachedFirstTokenDivisor : delay;
}

bool engine_standin::cancel(std::string_view requestId, std::string_view attemptId)
{
    bool found = false;
    for (attempt *each : m_attempts) {
        const bool isNamed = each->request.requestId == requestId
            && (attemptId.empty() || each->request.attemptId == attemptId);
        if (!isNamed || each->ended())
            continue;
        each->cancelled = true;
        each->changed.notify();
        found = true;
    }
    return found;
}

net::awaitable<void> engine_standin::handleOrder(std::shared_ptr<http_exchange> exchange)
{
    const auto body = parseObject(exchange->body());
    const engine_order wanted = body ? parseOrder(*body) : engine_order();
    const bool isKnownAction
        = wanted.action == "load" || wanted.action == "unload" || wanted.action == "role";
    int status = 202;
    json::value answer{{"accepted", true}};
    if (!isKnownAction) {
        status = 400;
        answer = {{"error", "unknown action"}};
    } else if (m_options.checksFencing && !m_server.faults().ignoreFencing
               && wanted.fencing < m_orders.fencing) {
        status = 409;
        answer = {{"fencing", m_orders.fencing}};
    } else if (!isRepeated(m_orders, wanted)) {
        m_orders.fencing = std::max(m_orders.fencing, wanted.fencing);
        m_orders.accepted.push_back(wanted);
        if (wanted.action == "load")
            net::co_spawn(m_context, loadModel(wanted), net::detached);
        else
            applyOrder(m_orders, wanted);
    }
    co_await exchange->reply(status, std::move(answer));
}

net::awaitable<void> engine_standin::loadModel(engine_order order)
{
    m_orders.loading.push_back(order);
    const auto ready = steady_clock::now() + m_options.minLoadTime;
    while (m_options.weightsPort != 0) {
        const int status = co_await fetchWeights(m_context, m_options.weightsIp,
                                                 m_options.weightsPort, order.model, order.version);
        if (status == 200)
            break;
        net::steady_timer retry(m_context, weightsRetryDelay);
        co_await retry.async_wait(net::as_tuple(net::use_awaitable));
    }
    net::steady_timer timer(m_context, ready);
    co_await timer.async_wait(net::as_tuple(net::use_awaitable));
    const auto finished
        = std::find_if(m_orders.loading.begin(), m_orders.loading.end(), [&](const auto &other) {
              return other.operation == order.operation && other.model == order.model
                  && other.version == order.version && other.adapter == order.adapter;
          });
    m_orders.loading.erase(finished);
    applyOrder(m_orders, order);
}

void engine_standin::recordLoad()
{
    m_loadHistory.record({steady_clock::now(), m_running, waitingCount(), m_generatedTokens});
}

std::int64_t engine_standin::waitingCount() const
{
    return std::count_if(m_attempts.begin(), m_attempts.end(),
                         [](const attempt *each) { return !each->running && !each->ended(); });
}

json::value engine_standin::describeLoad() const
{
    const auto now = steady_clock::now();
    const milliseconds lag = m_server.faults().reportLag;
    const load_sample sample = m_loadHistory.sampleBefore(now, lag);
    return {{"running", sample.running},
            {"waiting", sample.waiting},
            {"slots", m_options.slots},
            {"tokens_per_second", m_loadHistory.tokensPerSecond(now - lag)},
            {"kv_used_share", m_cache.usedShare()},
            {"age_ms", lag.count()}};
}

json::value engine_standin::describeModels() const
{
    json::array models;
    for (const auto &[name, model] : m_orders.loaded)
        models.push_back({{"id", name}, {"object", "model"}});
    return {{"object", "list"}, {"data", std::move(models)}};
}

json::value engine_standin::describeRuns() const
{
    json::object requests;
    for (const auto &[id, counts] : m_counts)
        requests[id] = {{"attempts", counts.attempts},
                        {"tokens", counts.tokens},
                        {"cancelled", counts.cancelled},
                        {"completed", counts.completed}};
    return {{"requests", std::move(requests)},
            {"generated_tokens", m_generatedTokens},
            {"wasted_tokens", m_wastedTokens}};
}

json::value engine_standin::describeKv(std::string_view body, bool importing, int &status)
{
    const std::string prefix = textField(parseObject(body).value_or(json::object()), "prefix");
    if (importing)
        m_cache.use(prefix);
    if (!m_cache.contains(prefix)) {
        status = 404;
        return {{"error", "unknown prefix"}};
    }
    return {{"bytes", kvBytesPerPrefix}};
}

} // namespace

http_server::handler makeEngineStandin(net::io_context &context, http_server &server,
                                       const role_options &options)
{
    auto role = std::make_shared<engine_standin>(context, server, options);
    return [role](std::shared_ptr<http_exchange> exchange) {
        return role->handle(std::move(exchange));
    };
}

} // namespace quincefall::standin
