#include "counter_client.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <cstdio>

namespace arrowstile {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kMaxResponseBodyBytes = 256;  // the body is a single number
constexpr Duration kCleanupInterval = milliseconds(500);
constexpr Duration kIdleTimeout = milliseconds(4000);

/// Returns the outcome of a request to the counter and, if it was answered, sets `total`. A response without
/// a valid number still shows that the request was processed, so the amount was added and the outcome is
/// errored.
Outcome parseResponse(const HttpResponse &response, double &total) {
    if (response.status == 503) return Outcome::overloaded;
    if (response.status == 400 || response.status == 404) return Outcome::connectFailed;  // nothing was added
    const std::string_view body = response.body;
    const auto begin = std::min(body.find_first_not_of(" \r\n"), body.size());
    const char *end = body.data() + body.find_last_not_of(" \r\n") + 1;
    const auto [parsedEnd, error] = std::from_chars(body.data() + begin, end, total);
    const bool isNumber = error == std::errc{} && parsedEnd == end && std::isfinite(total);
    return response.status == 200 && isNumber ? Outcome::answered : Outcome::errored;
}

}  // namespace

/// A connection to the counter, with at most one request in flight.
struct CounterClient::Connection final : TcpConnection::Handler {
    explicit Connection(CounterClient &client)
        : owner(client),
          parser(kMaxResponseBodyBytes, [this](HttpResponse response) { handleResponse(response); }) {}

    ~Connection() {
        owner.context_.timers.cancel(timeoutTimer);
        owner.unflushedConnections_.erase(this);
    }

    void onOpen() override {
        isOpen = true;
        owner.unflushedConnections_.insert(this);
    }

    std::size_t onData(std::string_view bytes) override {
        const bool isUsable = parser.parse(bytes) && !mustClose;
        if (isUsable && (isBusy || !isRetired)) return bytes.size();
        owner.closeConnection(*this, true);
        return 0;
    }

    void onClosed(CloseReason reason) override {
        owner.closeConnection(*this, false, undeliveredOutcome(reason));
    }

    void handleResponse(const HttpResponse &response) {
        double total = 0;
        const Outcome outcome = parseResponse(response, total);
        mustClose = mustClose || !response.isKeepAlive || !isBusy || outcome == Outcome::errored;
        if (!std::exchange(isBusy, false)) return;
        idleSince = owner.context_.clock.now();
        owner.context_.timers.cancel(timeoutTimer);
        if (!std::exchange(hasTimedOut, false)) owner.reportEnd(countName, sentAt, outcome, total);
    }

    CounterClient &owner;
    HttpResponseParser parser;
    TcpConnection::Ptr tcp;
    CountName countName;  ///< of the latest request
    Timestamp sentAt{};   ///< of the latest request
    Timestamp idleSince{};
    TimerQueue::Key timeoutTimer{};
    std::uint64_t writtenBytes = 0;
    bool isOpen = false;
    bool isBusy = false;       ///< a response is awaited
    bool hasTimedOut = false;  ///< the request was reported as timed out; its response is still awaited
    bool mustClose = false;    ///< no further request can be sent on this connection
    bool isRetired = false;    ///< leads to a former address; closed after the response
};

CounterClient::CounterClient(ServerContext &context) : context_(context) {
    context_.timers.schedule(context_.clock.now() + kCleanupInterval, [this] { closeIdleConnections(); });
}

CounterClient::~CounterClient() { connections_.clear(); }

void CounterClient::addToCount(const AddToCount &action) {
    const Timestamp now = context_.clock.now();
    auto idle = std::find_if(connections_.rbegin(), connections_.rend(),
                             [](const auto &candidate) { return candidate->isOpen && !candidate->isBusy; });
    Connection *connection = nullptr;
    CloseReason failure{};
    if (idle != connections_.rend()) {
        std::rotate(idle.base() - 1, idle.base(), connections_.end());
        connection = connections_.back().get();
    } else {
        if (connections_.size() >= context_.limits.maxCounterConnections) {
            // Requests that have timed out are given up first, then the oldest.
            const auto oldest = std::ranges::min_element(connections_, {}, [](const auto &candidate) {
                return std::pair(!candidate->hasTimedOut, candidate->sentAt);
            });
            closeConnection(**oldest, false);
        }
        connection = connect(failure);
    }
    ++context_.metrics.countsSent;
    if (connection == nullptr) return reportEnd(action.name, now, undeliveredOutcome(failure), 0);
    char target[128];
    const int size =
        std::snprintf(target, sizeof target, "/v2/numbers/%016llx?delta=%.9g&life_ms=%lld",
                      static_cast<unsigned long long>(action.name.value), action.amount,
                      static_cast<long long>(std::max<std::int64_t>(1, action.lifetime.count() / 1000)));
    const Address &address = *context_.startDocument.counterAddress;
    const std::string request =
        formatHttpRequest("POST", std::string_view(target, static_cast<std::size_t>(size)),
                          address.host + ":" + std::to_string(address.port));
    connection->tcp->write(request);
    connection->writtenBytes += request.size();
    connection->countName = action.name;
    connection->sentAt = now;
    connection->isBusy = true;
    connection->timeoutTimer = context_.timers.schedule(now + action.timeout, [this, connection] {
        const bool wasSent = connection->isOpen && connection->tcp->sentBytes() >= connection->writtenBytes;
        if (!wasSent) return closeConnection(*connection, false);
        connection->hasTimedOut = true;
        reportEnd(connection->countName, connection->sentAt, Outcome::timedOut, 0);
    });
    if (connection->isOpen) unflushedConnections_.insert(connection);
}

void CounterClient::onAddressChange() {
    std::erase_if(connections_,
                  [](const auto &connection) { return !connection->isBusy || connection->hasTimedOut; });
    for (const auto &connection : connections_) connection->isRetired = true;
}

/// Starts to connect to the counter. Returns nullptr if there is no counter, or if connecting fails at once,
/// and then sets `failure`.
CounterClient::Connection *CounterClient::connect(CloseReason &failure) {
    if (!context_.startDocument.counterAddress) return nullptr;
    auto created = std::make_unique<Connection>(*this);
    created->tcp = TcpConnection::connect(context_.loop, *context_.startDocument.counterAddress,
                                          created.get(), failure, context_.limits.counterReceiveBufferBytes);
    if (!created->tcp) return nullptr;
    ++context_.metrics.counterConnections;
    connections_.push_back(std::move(created));
    return connections_.back().get();
}

/// Closes a connection and reports the end of the request in flight on it, if any: as errored if a response
/// came that can't be read, because then the amount was added; as reset if the whole request was handed to
/// the system, because then the amount may have been added; and otherwise as `undelivered`, because then it
/// was not. A connection whose request has not been reported as ended is closed only here.
void CounterClient::closeConnection(Connection &connection, bool wasAnswered, Outcome undelivered) {
    const auto found = std::ranges::find_if(
        connections_, [&](const auto &candidate) { return candidate.get() == &connection; });
    const auto closing = std::move(*found);
    connections_.erase(found);
    if (!closing->isBusy || closing->hasTimedOut) return;
    const bool wasSent = closing->isOpen && closing->tcp->sentBytes() >= closing->writtenBytes;
    const Outcome unanswered = wasSent ? Outcome::reset : undelivered;
    reportEnd(closing->countName, closing->sentAt, wasAnswered ? Outcome::errored : unanswered, 0);
}

void CounterClient::reportEnd(CountName name, Timestamp sentAt, Outcome outcome, double total) {
    ++(outcome == Outcome::answered ? context_.metrics.countsAnswered : context_.metrics.countsLost);
    context_.pendingEvents.emplace_back(AddToCountEnded{name, outcome, total, context_.clock.now() - sentAt});
}

void CounterClient::flush() {
    for (Connection *connection : std::exchange(unflushedConnections_, {})) connection->tcp->flush();
}

/// Runs periodically: closes connections that were idle for longer than kIdleTimeout.
void CounterClient::closeIdleConnections() {
    const Timestamp now = context_.clock.now();
    context_.timers.schedule(now + kCleanupInterval, [this] { closeIdleConnections(); });
    std::erase_if(connections_, [&](const auto &connection) {
        return connection->isOpen && !connection->isBusy && now - connection->idleSince > kIdleTimeout;
    });
}

}  // namespace arrowstile
