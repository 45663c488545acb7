#include "discovery.hpp"

namespace arrowstile {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t longestList = 16 * 1024 * 1024;
constexpr Duration wait = milliseconds(10000), firstWait = milliseconds(1), beyondWait = milliseconds(1500),
                   callMost = milliseconds(2000);
constexpr Duration againAfter = milliseconds(100);  // a later call would begin a new watch

}  // namespace

Discovery::Discovery(Surroundings &around, Heard heard)
    : around_(around), heard_(std::move(heard)), reader_(around.start.settings) {}

void Discovery::known(std::string_view list) {
    const DiscoveryUpdate news = reader_.parse(list);
    version_ = news.version;
    hasList_ = true;
    heard_(news, WorkerListKind::cached);
}

void Discovery::follow(bool on) {
    following_ = on;
    call();
}

void Discovery::fetch() {
    wholeWanted_ = true;
    call();
}

void Discovery::move() {
    around_.alarms.clear(alarm_);
    stream_.reset();
    out_ = told_ = false;
    fetch();
}

void Discovery::call() {
    if (out_ || (!following_ && !wholeWanted_)) return;
    if (!stream_) {
        broken_ = open_ = false;
        answers_ = std::make_unique<HttpResponseParser>(longestList,
                                                        [this](const HttpResponse &answer) { hear(answer); });
        stream_ = Stream::connect(around_.loop, around_.start.discoveryAddress, this);
        if (!stream_) return again();
    }
    out_ = true;
    const Address &at = around_.start.discoveryAddress;
    std::string target = "/api/targets";
    const bool watch = hasList_ && !wholeWanted_;
    askedWhole_ = !watch;
    if (watch) {
        target += "?since=" + std::to_string(version_) +
                  "&timeout_ms=" + std::to_string((told_ ? wait : firstWait).count() / 1000);
        ++around_.metrics.watches;
    }
    stream_->write(formatHttpRequest("GET", target, at.host + ":" + std::to_string(at.port)));
    if (open_) stream_->flush();
    alarm_ =
        around_.alarms.set(around_.clock.now() + (watch ? wait + beyondWait : callMost), [this] { again(); });
}

void Discovery::onOpen() {
    open_ = true;
    stream_->flush();
}

std::size_t Discovery::onBytes(std::string_view bytes) {
    if (!answers_->parse(bytes) || broken_) again();
    return bytes.size();
}

void Discovery::hear(const HttpResponse &answer) {
    around_.alarms.clear(alarm_);
    out_ = false;
    broken_ = broken_ || !answer.isKeepAlive || answer.status != 200;
    // It may no longer know the version that we ask from: then only a whole list helps.
    if (answer.status / 100 == 4) wholeWanted_ = true;
    if (answer.status != 200) return;
    try {
        const DiscoveryUpdate news = reader_.parse(answer.body);
        version_ = news.version;
        hasList_ = told_ = true;
        if (askedWhole_) wholeWanted_ = false;
        ++around_.metrics.lists;
        if (!broken_) call();  // the next watch first: what is told between two counts as told
        heard_(news, news.isSnapshot ? WorkerListKind::snapshot : WorkerListKind::delta);
    } catch (const ConfigError &error) {
        around_.log.warning(error.what());
        broken_ = true;
    }
}

/// The one place where the connection is given back: it broke, or kept silent past any wait.
void Discovery::again() {
    around_.alarms.clear(alarm_);
    const bool told = std::exchange(out_, false);
    stream_.reset();
    if (told && around_.start.settings.engine.discoveryMode == DiscoveryMode::onRequest)
        heard_({}, WorkerListKind::failed);
    alarm_ = around_.alarms.set(around_.clock.now() + againAfter, [this] { call(); });
}

}  // namespace arrowstile
