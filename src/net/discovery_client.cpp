#include "discovery_client.hpp"

namespace arrowstile {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kMaxListBytes = 16 * 1024 * 1024;
/// How long discovery may hold a watch request until something changes.
constexpr Duration kWatchTimeout = milliseconds(10000);
/// The first watch request asks for a response at once, since the gateway becomes ready with it.
constexpr Duration kFirstWatchTimeout = milliseconds(1);
/// How much later than kWatchTimeout the response to a watch request may arrive.
constexpr Duration kWatchTimeoutMargin = milliseconds(1500);
constexpr Duration kFetchTimeout = milliseconds(2000);
/// Discovery counts a request that comes later than this after a broken one as the start of a new watch.
constexpr Duration kReconnectDelay = milliseconds(100);

}  // namespace

DiscoveryClient::DiscoveryClient(ServerContext &context, UpdateCallback onUpdate)
    : context_(context), onUpdate_(std::move(onUpdate)), updateParser_(context.startDocument.settings) {}

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
    isRequestInFlight_ = hasDiscoveryAnswered_ = false;
    fetchList();
}

/// Sends the next request, if none is in flight and one is needed. Connects first if necessary.
void DiscoveryClient::sendRequest() {
    if (isRequestInFlight_ || (!isWatching_ && !isSnapshotWanted_)) return;
    if (!tcp_) {
        mustReconnect_ = isOpen_ = false;
        responseParser_ = std::make_unique<HttpResponseParser>(
            kMaxListBytes, [this](const HttpResponse &response) { handleResponse(response); });
        tcp_ = TcpConnection::connect(context_.loop, context_.startDocument.discoveryAddress, this);
        if (!tcp_) return reconnectLater();
    }
    isRequestInFlight_ = true;
    const Address &address = context_.startDocument.discoveryAddress;
    std::string target = "/api/targets";
    const bool isWatch = hasList_ && !isSnapshotWanted_;
    isSnapshotRequested_ = !isWatch;
    if (isWatch) {
        target += "?since=" + std::to_string(version_) + "&timeout_ms=" +
                  std::to_string((hasDiscoveryAnswered_ ? kWatchTimeout : kFirstWatchTimeout).count() / 1000);
        ++context_.metrics.watches;
    }
    tcp_->write(formatHttpRequest("GET", target, address.host + ":" + std::to_string(address.port)));
    if (isOpen_) tcp_->flush();
    timer_ = context_.timers.schedule(
        context_.clock.now() + (isWatch ? kWatchTimeout + kWatchTimeoutMargin : kFetchTimeout),
        [this] { reconnectLater(); });
}

void DiscoveryClient::onOpen() {
    isOpen_ = true;
    tcp_->flush();
}

std::size_t DiscoveryClient::onData(std::string_view bytes) {
    if (!responseParser_->parse(bytes) || mustReconnect_) reconnectLater();
    return bytes.size();
}

void DiscoveryClient::handleResponse(const HttpResponse &response) {
    context_.timers.cancel(timer_);
    isRequestInFlight_ = false;
    mustReconnect_ = mustReconnect_ || !response.isKeepAlive || response.status != 200;
    // Discovery may no longer have the version that the watch starts from; only a whole list helps then.
    if (response.status / 100 == 4) isSnapshotWanted_ = true;
    if (response.status != 200) return;
    try {
        const DiscoveryUpdate update = updateParser_.parse(response.body);
        version_ = update.version;
        hasList_ = hasDiscoveryAnswered_ = true;
        if (isSnapshotRequested_) isSnapshotWanted_ = false;
        ++context_.metrics.lists;
        // The next watch request is sent before the update is processed: a change that happens between two
        // watch requests counts as announced to this gateway, though it can't be acted on yet.
        if (!mustReconnect_) sendRequest();
        onUpdate_(update, update.isSnapshot ? WorkerListKind::snapshot : WorkerListKind::delta);
    } catch (const ConfigError &error) {
        context_.log.warning(error.what());
        mustReconnect_ = true;
    }
}

/// Closes the connection, because it failed or a request timed out, and schedules the next attempt. Apart
/// from a change of address, the connection is closed only here.
void DiscoveryClient::reconnectLater() {
    context_.timers.cancel(timer_);
    const bool hasRequestFailed = std::exchange(isRequestInFlight_, false);
    tcp_.reset();
    if (hasRequestFailed && context_.startDocument.settings.engine.discoveryMode == DiscoveryMode::onRequest)
        onUpdate_({}, WorkerListKind::failed);
    timer_ = context_.timers.schedule(context_.clock.now() + kReconnectDelay, [this] { sendRequest(); });
}

}  // namespace arrowstile
