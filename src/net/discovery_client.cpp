#include "discovery_client.hpp"

#include <algorithm>

namespace arrowstile {
namespace {

using std::chrono::milliseconds;

/// How long discovery may hold a watch request until something changes.
constexpr Duration kWatchTimeout = milliseconds(10000);
/// The same for a request that asks for a response at once.
constexpr Duration kConfirmationTimeout = milliseconds(1);
/// How much later than kWatchTimeout the response to a watch request may begin.
constexpr Duration kWatchTimeoutMargin = milliseconds(1500);
/// How long a response that discovery sends at once may take to begin. Doubled after each timeout.
constexpr Duration kMinFirstByteTimeout = milliseconds(4000);
constexpr Duration kMaxFirstByteTimeout = milliseconds(8000);
/// How long a response that has begun may pause.
constexpr Duration kStallTimeout = milliseconds(4000);
/// An answer that took longer to arrive is not the latest news: discovery is asked for changes since it
/// began.
constexpr Duration kMaxTransferTime = milliseconds(100);
/// Pause before the next attempt to connect, doubled after each. Discovery counts a request that comes later
/// than 200 ms after a response as the start of a new watch.
constexpr Duration kMinReconnectDelay = milliseconds(20);
constexpr Duration kMaxReconnectDelay = milliseconds(100);

ListDoubt doubtAfter(CloseReason reason) {
    switch (reason) {
        case CloseReason::refused: return ListDoubt::connectionRefused;
        case CloseReason::localFailure: return ListDoubt::localFailure;
        default: return ListDoubt::connectionLost;
    }
}

}  // namespace

DiscoveryClient::DiscoveryClient(ServerContext &context, UpdateCallback onUpdate)
    : context_(context),
      onUpdate_(std::move(onUpdate)),
      updateParser_(context.startDocument.settings),
      freshness_(context.startDocument.settings.engine.discoveryMode, context.clock.now()),
      firstByteTimeout_(kMinFirstByteTimeout),
      reconnectDelay_(kMinReconnectDelay) {}

void DiscoveryClient::loadCachedList(std::string_view json) {
    const DiscoveryUpdate update = updateParser_.parse(json);
    version_ = update.version;
    hasList_ = true;
    onUpdate_(update, WorkerListKind::cached);
}

void DiscoveryClient::setWatching(bool enabled) {
    isWatching_ = enabled;
    sendRequest();
}

void DiscoveryClient::fetchList() {
    isSnapshotWanted_ = true;
    sendRequest();
}

void DiscoveryClient::onAddressChange() {
    context_.timers.cancel(timer_);
    tcp_.reset();
    isRequestInFlight_ = false;
    isConfirmationWanted_ = true;
    freshness_.addDoubt(ListDoubt::addressChanged, context_.clock.now());
    fetchList();
}

DiscoveryClient::RequestKind DiscoveryClient::nextRequestKind() const {
    if (!hasList_ || isSnapshotWanted_) return RequestKind::snapshot;
    return isConfirmationWanted_ ? RequestKind::confirmation : RequestKind::watch;
}

std::string DiscoveryClient::requestTarget(RequestKind kind) const {
    const std::string path = "/api/targets";
    if (kind == RequestKind::snapshot) return path;
    const Duration timeout = kind == RequestKind::watch ? kWatchTimeout : kConfirmationTimeout;
    const auto timeoutMs = std::chrono::duration_cast<milliseconds>(timeout).count();
    return path + "?since=" + std::to_string(version_) + "&timeout_ms=" + std::to_string(timeoutMs);
}

/// Sends the next request, if none is in flight and one is needed. Connects first if necessary.
void DiscoveryClient::sendRequest() {
    if (isRequestInFlight_ || (!isWatching_ && !isSnapshotWanted_)) return;
    if (!tcp_ && !openConnection()) return;
    isRequestInFlight_ = true;
    isResponseBegun_ = false;
    requestKind_ = nextRequestKind();
    if (requestKind_ != RequestKind::snapshot) ++context_.metrics.watches;
    const Address &address = context_.startDocument.discoveryAddress;
    tcp_->write(formatHttpRequest("GET", requestTarget(requestKind_),
                                  address.host + ":" + std::to_string(address.port)));
    if (isOpen_) tcp_->flush();
    restartTimeout(requestKind_ == RequestKind::watch ? kWatchTimeout + kWatchTimeoutMargin
                                                      : firstByteTimeout_);
}

/// Starts to connect. Returns false if that fails at once; the next attempt is then scheduled.
bool DiscoveryClient::openConnection() {
    mustReconnect_ = isOpen_ = false;
    responseParser_ = std::make_unique<HttpResponseParser>(
        context_.limits.maxListBytes, [this](const HttpResponse &response) { handleResponse(response); });
    CloseReason failure{};
    tcp_ = TcpConnection::connect(context_.loop, context_.startDocument.discoveryAddress, this, failure,
                                  context_.limits.discoveryReceiveBufferBytes);
    if (!tcp_) loseConnection(doubtAfter(failure));
    return tcp_ != nullptr;
}

void DiscoveryClient::onOpen() {
    isOpen_ = true;
    tcp_->flush();
    // The agent answers at once if anything has changed since the last response.
    if (requestKind_ == RequestKind::watch) freshness_.confirm();
}

std::size_t DiscoveryClient::onData(std::string_view bytes) {
    if (!std::exchange(isResponseBegun_, true)) responseBegunAt_ = context_.clock.now();
    if (!responseParser_->parse(bytes)) mustReconnect_ = true;
    if (mustReconnect_) {
        loseConnection(ListDoubt::connectionLost);
    } else if (isRequestInFlight_ && isResponseBegun_) {
        freshness_.addDoubt(ListDoubt::answerIncomplete, context_.clock.now());
        restartTimeout(kStallTimeout);
    }
    return bytes.size();
}

void DiscoveryClient::onClosed(CloseReason reason) { loseConnection(doubtAfter(reason)); }

void DiscoveryClient::handleResponse(const HttpResponse &response) {
    context_.timers.cancel(timer_);
    isRequestInFlight_ = false;
    mustReconnect_ = mustReconnect_ || !response.isKeepAlive || response.status != 200;
    // Discovery may no longer have the version that the watch starts from; only a whole list helps then.
    if (response.status / 100 == 4) isSnapshotWanted_ = true;
    if (response.status != 200) {
        isConfirmationWanted_ = true;
        context_.log.warning("discovery: response with status ", response.status);
        return;
    }
    try {
        const DiscoveryUpdate update = updateParser_.parse(response.body);
        if (!update.isSnapshot && update.version < version_) return handleOlderVersion(update.version);
        version_ = update.version;
        hasList_ = true;
        const bool isRecent = context_.clock.now() - responseBegunAt_ <= kMaxTransferTime;
        isConfirmationWanted_ = !isRecent;
        firstByteTimeout_ = kMinFirstByteTimeout;
        if (requestKind_ != RequestKind::watch || !update.workers.empty())
            reconnectDelay_ = kMinReconnectDelay;
        if (requestKind_ == RequestKind::snapshot) isSnapshotWanted_ = false;
        ++context_.metrics.lists;
        // The next watch request is sent before the update is processed: a change that happens between two
        // watch requests counts as announced to this gateway, though it can't be acted on yet.
        if (!mustReconnect_) sendRequest();
        onUpdate_(update, update.isSnapshot ? WorkerListKind::snapshot : WorkerListKind::delta);
        if (isRecent) freshness_.confirm();
    } catch (const ConfigError &error) {
        context_.log.warning(error.what());
        isConfirmationWanted_ = mustReconnect_ = true;
    }
}

/// Discovery has answered with changes up to a version before the one that was asked from, so it is another
/// process, whose versions mean other lists. Only a whole list helps.
void DiscoveryClient::handleOlderVersion(std::uint64_t version) {
    context_.log.warning("discovery: changes up to version ", version, " were sent from ", version_,
                         " on; the whole list is fetched");
    freshness_.addDoubt(ListDoubt::connectionLost, context_.clock.now());
    isSnapshotWanted_ = true;
    if (!mustReconnect_) sendRequest();
}

void DiscoveryClient::restartTimeout(Duration timeout) {
    context_.timers.cancel(timer_);
    timer_ = context_.timers.schedule(context_.clock.now() + timeout, [this] { handleTimeout(); });
}

void DiscoveryClient::handleTimeout() {
    const bool isWatchSilent = requestKind_ == RequestKind::watch && !isResponseBegun_;
    if (!isWatchSilent) firstByteTimeout_ = std::min(2 * firstByteTimeout_, kMaxFirstByteTimeout);
    loseConnection(isWatchSilent ? ListDoubt::watchSilent : ListDoubt::connectionLost);
}

/// Closes the connection and schedules the next attempt. Apart from a change of address, the connection is
/// closed only here.
void DiscoveryClient::loseConnection(ListDoubt cause) {
    freshness_.addDoubt(cause, context_.clock.now());
    const bool hasRequestFailed = std::exchange(isRequestInFlight_, false);
    if (hasRequestFailed) isConfirmationWanted_ = true;
    context_.log.debug("discovery: ", toString(cause), hasRequestFailed ? ", request failed" : "");
    tcp_.reset();
    if (hasRequestFailed && context_.startDocument.settings.engine.discoveryMode == DiscoveryMode::onRequest)
        onUpdate_({}, WorkerListKind::failed);
    reconnectLater();
}

void DiscoveryClient::reconnectLater() {
    context_.timers.cancel(timer_);
    timer_ = context_.timers.schedule(context_.clock.now() + reconnectDelay_, [this] { sendRequest(); });
    reconnectDelay_ = std::min(2 * reconnectDelay_, kMaxReconnectDelay);
}

}  // namespace arrowstile
