#include "clients.hpp"

#include <algorithm>

namespace arrowstile {
namespace {

using std::chrono::milliseconds;

constexpr int backlog = 1024;
// Of a connection: commands that wait for an answer, and bytes that its reader leaves with us. Past them we
// stop reading it, so that neither a flood nor a slow reader takes the memory of all.
constexpr std::size_t mostWaiting = 512, mostUnsent = 256 * 1024, leastUnsent = 64 * 1024;
// Beyond it a connection is closed: a command that never ends.
constexpr std::size_t longestCommand = resp::kMaxCommandValueBytes + 8 * 1024, leastBegun = 1024;
// A connection that never sent a good command, and one with a command begun, get so long; the reader of an
// error so long to fetch it before the rest of what it sends is cut off.
constexpr Duration sweepEvery = milliseconds(250), patience = milliseconds(2000),
                   lastWord = milliseconds(300);
// A planned stop: new connections go on coming for a while; one closed before then would only come back.
constexpr Duration stillComing = milliseconds(500), noneCame = milliseconds(200),
                   lookAgain = milliseconds(20);
// A client that was told of the end and keeps its side open is not waited for any longer; and the whole stop
// ends before the kill, which comes 0.7 s after the longest patience at the soonest, with that counted as 3 s
// at the most. Nobody usual comes after the first half second or so, whatever a crowd does. A client may be
// more patient than that: what is owed then is answered while there is time to fetch it.
constexpr Duration mostPatience = milliseconds(3000), afterPatience = milliseconds(550),
                   comingMost = milliseconds(900), lastFetch = milliseconds(60);

}  // namespace

struct Clients::Link final : Stream::Holder {
    Link(Clients &clients, ClientId number, Timestamp now, Timestamp since)
        : all(clients), id(number), lastUsed(now), openSince(since) {
        ++all.strangers_;
    }

    ~Link() {
        all.left_ -= counted;
        all.begun_ -= begun;
        all.strangers_ -= stranger;
    }

    std::size_t onBytes(std::string_view bytes) override {
        std::size_t used = 0;
        resp::Command command;
        while (used < bytes.size() && !paused && !ending) {
            const auto parsed = resp::parseCommand(bytes.substr(used), command);
            const bool endless =
                parsed == resp::ParseResult::incomplete && bytes.size() - used > longestCommand;
            if (parsed == resp::ParseResult::incomplete && !endless) break;
            if (parsed == resp::ParseResult::malformed || endless) {
                ++all.around_.metrics.badCommands;
                say("-ERR Protocol error\r\n");
                ending = true;
                break;
            }
            used += command.consumedBytes;
            lastUsed = all.around_.clock.now();
            all.obey(*this, command);
            holdBack();
        }
        openSince = Timestamp::max();
        if (ending) {
            stream->pause(true);  // an error needs none of what may still come
            used = bytes.size();
        }
        const std::size_t rest = paused ? 0 : bytes.size() - used;
        if (begun == 0 && rest > 0) lastUsed = all.around_.clock.now();
        all.begun_ += rest - begun;
        begun = rest;
        return used;
    }

    /// Has sent an API call. More connections than a third of our descriptors its side can't hold, and where
    /// each is used once and kept, calls would wait for one to end: the one idle longest goes before that.
    void asked() {
        known = true;
        if (!std::exchange(stranger, false)) return;
        --all.strangers_;
        if (all.links_.size() - all.strangers_ > all.around_.limits.maxCallingClients)
            all.letGo(Among::callers);
    }

    /// Whether it has kept us waiting too long, with nothing to wait for on our side.
    bool overdue(Timestamp now) const {
        if (finished) return now - lastUsed > lastWord;
        return (!known || begun > 0) && queue.pendingCount() == 0 && now - lastUsed > patience;
    }

    void onDrained() override {
        left();
        holdBack();
    }

    /// Bytes that wait for this client to fetch them; keeps the sum over all up to date.
    std::size_t left() {
        all.left_ += stream->unsent() - counted;
        return counted = stream->unsent();
    }

    void onClosed() override { all.end(id); }

    void say(std::string text) {
        queue.fillSlot(queue.reserveSlot(), std::move(text));
        all.unflushed_.insert(id);
    }

    /// Ends our sending: the client sees it between two answers, and what it wrote meanwhile it sends again.
    void finish(Timestamp now) {
        if (std::exchange(finished, true)) return;
        ending = true;
        lastUsed = now;
        stream->finish();
    }

    bool idle() const { return queue.pendingCount() == 0 && stream->unsent() == 0 && begun == 0; }

    void holdBack() {
        const bool full = queue.pendingCount() >= mostWaiting || stream->unsent() >= mostUnsent;
        const bool easy = queue.pendingCount() <= mostWaiting / 2 && stream->unsent() <= leastUnsent;
        if (!(paused ? easy : full)) return;
        paused = !paused;
        stream->pause(paused);
    }

    Clients &all;
    const ClientId id;
    Stream::Ptr stream;
    AnswerQueue queue;
    Timestamp lastUsed, openSince;  ///< the second until something was read
    std::size_t counted = 0, begun = 0;
    bool known = false, stranger = true;  ///< has sent a good command; has sent no API call
    bool paused = false, ending = false, finished = false;
};

void Clients::CloseListener::operator()(uv_tcp_t *listener) const {
    uv_close(reinterpret_cast<uv_handle_t *>(listener),
             [](uv_handle_t *handle) { delete reinterpret_cast<uv_tcp_t *>(handle); });
}

Clients::Clients(Surroundings &around, PendingCallTable &book) : around_(around), book_(book) {
    around_.alarms.set(around_.clock.now() + sweepEvery, [this] { sweep(); });
}

Clients::~Clients() = default;

void Clients::listen(const Address &at) {
    listener_.reset(new uv_tcp_t);
    uv_tcp_init(around_.loop, listener_.get());
    listener_->data = this;
    const sockaddr_in address = socketAddress(at);
    int error = uv_tcp_bind(listener_.get(), reinterpret_cast<const sockaddr *>(&address), 0);
    if (error == 0) {
        error = uv_listen(reinterpret_cast<uv_stream_t *>(listener_.get()), backlog,
                          [](uv_stream_t *listener, int status) {
                              if (status == 0) static_cast<Clients *>(listener->data)->accept();
                          });
    }
    if (error != 0) {
        throw ConfigError("can't listen on " + at.host + ":" + std::to_string(at.port) + ": " +
                          uv_strerror(error));
    }
}

/// Lets the one go that has been idle longest, unless a command of it already waits to be read; what
/// strangers say counts once, as some never end.
bool Clients::letGo(Among whom) {
    auto oldest = links_.end();
    for (auto at = links_.begin(); at != links_.end(); ++at) {
        const Link &link = *at->second;
        const bool strangers = whom == Among::strangers;
        if (whom != Among::all && link.stranger != strangers) continue;
        if (strangers ? link.queue.pendingCount() > 0 : !link.idle()) continue;
        const bool older = oldest == links_.end() || link.lastUsed < oldest->second->lastUsed;
        const bool mayStay = !strangers || link.openSince != Timestamp::max();
        if (older && !(mayStay && link.stream->hasNews())) oldest = at;
    }
    if (oldest == links_.end()) return false;
    ++around_.metrics.clientsLetGo;
    links_.erase(oldest);
    return true;
}

void Clients::sweep() {
    const Timestamp now = around_.clock.now();
    around_.alarms.set(now + sweepEvery, [this] { sweep(); });
    std::vector<ClientId> overdue;
    for (const auto &[id, link] : links_)
        if (link->overdue(now)) overdue.push_back(id);
    for (const ClientId id : overdue) {
        ++around_.metrics.clientsLetGo;
        end(id);
    }
}

/// A crowd that connects and says nothing, or PING and no more, pushes out its own, not the connections of
/// usual clients; one that comes before strangers were read waits for that. Beyond all of them the one that
/// has been idle longest makes room.
void Clients::accept() {
    const Timestamp since = waits_ ? *waits_ : around_.readAt;
    waits_.reset();
    if (strangers_ >= around_.limits.maxNonCallingClients && !letGo(Among::strangers)) {
        waits_ = since;
        return;
    }
    const bool room = links_.size() < around_.limits.maxClientConnections || letGo(Among::all);
    const ClientId id{++lastId_};
    cameAt_ = around_.clock.now();
    auto link = std::make_unique<Link>(*this, id, cameAt_, since);
    link->stream = Stream::accept(reinterpret_cast<uv_stream_t *>(listener_.get()), link.get());
    if (!link->stream) return;
    ++(room ? around_.metrics.clientsAccepted : around_.metrics.clientsTurnedAway);
    if (room) links_.emplace(id, std::move(link));
}

void Clients::obey(Link &link, const resp::Command &command) {
    const std::string_view verb = command.arguments[0];
    if (isApiCallCommand(verb)) {
        ApiCall call;
        auto wrong = parseApiCall(command, around_.start.settings, call);
        if (wrong.empty() && book_.hasRequestId(call.requestId)) wrong = "this id is open";
        if (wrong.empty() && book_.bodyBytes() + call.body.size() > around_.limits.maxBufferedBytesPerKind) {
            ++around_.metrics.callsRateLimited;
            link.say(encodeRateLimitedAnswer(std::nullopt));
            return;
        }
        if (wrong.empty()) {
            // It may have come at any time since the sockets were last read, or before its connection was
            // taken.
            const Timestamp now = around_.clock.now();
            call.event.timeRemaining -= now - std::min(around_.readAt, link.openSince);
            const AnswerSlot place = link.queue.reserveSlot();
            const CallReceived taken = call.event;
            const CallId id = book_.add(std::move(call), link.id, place);
            link.asked();
            around_.happened.emplace_back(taken);
            std::get<CallReceived>(around_.happened.back()).call = id;
            ++around_.metrics.callsTaken;
            return;
        }
        ++around_.metrics.badCommands;
        link.say("-ERR " + std::string(wrong) + "\r\n");
    } else if (verb == "PING") {
        link.known = true;
        link.say(ready_ ? "+PONG\r\n" : "-LOADING not ready yet\r\n");
    } else if (verb == "INFO") {
        link.known = true;
        link.say(encodeProxiedAnswer(around_.metrics.toText()));
    } else {
        ++around_.metrics.badCommands;
        link.say("-ERR unknown command\r\n");
    }
}

void Clients::answer(const PendingCall &ended, std::string text) {
    const auto found = links_.find(ended.client);
    if (found == links_.end()) return;
    found->second->queue.fillSlot(ended.slot, std::move(text));
    unflushed_.insert(ended.client);
}

void Clients::flush() {
    for (const ClientId id : std::exchange(unflushed_, {})) {
        const auto found = links_.find(id);
        if (found == links_.end()) continue;
        Link &link = *found->second;
        std::string text;
        link.queue.popReady(text);
        link.stream->write(text);
        link.stream->flush();
        link.holdBack();
        const std::size_t left = link.left();
        if (left > around_.limits.maxUnsentBytesPerClient ||
            (left_ > around_.limits.maxBufferedBytesPerKind && left > leastUnsent)) {
            around_.log.warning("a client that does not fetch its answers is let go");
            end(id);
            continue;
        }
        if (link.queue.pendingCount() == 0 && (link.ending || (closing_ && link.idle())))
            link.finish(around_.clock.now());
    }
    while (begun_ > around_.limits.maxBufferedBytesPerKind) endLongestBegun();
    if (waits_ && listener_) accept();
}

/// Of half commands the one that is waited for longest makes room for the others.
void Clients::endLongestBegun() {
    const auto longest = std::ranges::min_element(links_, {}, [](const auto &one) {
        return std::pair(one.second->begun <= leastBegun, one.second->lastUsed);
    });
    ++around_.metrics.clientsLetGo;
    end(longest->first);
}

void Clients::end(ClientId id) {
    for (const CallId call : book_.removeAllOf(id)) {
        ++around_.metrics.callsAbandoned;
        around_.happened.emplace_back(CallAbandoned{call});
    }
    links_.erase(id);
}

void Clients::leave() {
    if (std::exchange(leaving_, true)) return;
    leftAt_ = around_.clock.now();
    around_.alarms.set(leftAt_ + stillComing, [this] { leaveOn(); });
}

/// The process ends before these clients stop waiting. A try of theirs may be out, so they are told that they
/// errored, which promises nothing; one that is dropped unanswered would be lost.
void Clients::answerRest() {
    for (const auto &[id, link] : links_) {
        for (const CallId call : book_.callsOf(id)) {
            answer(*book_.remove(call), encodeErroredAnswer());
            ++around_.metrics.callsErrored;
            around_.happened.emplace_back(CallAbandoned{call});
        }
    }
}

void Clients::leaveOn() {
    const Timestamp now = around_.clock.now();
    closing_ = true;
    if (now - cameAt_ > noneCame || now - leftAt_ > comingMost) listener_.reset();
    Duration longest{};
    for (const Route &route : around_.start.settings.engine.routes)
        longest = std::max(longest, route.clientTimeout);
    longest = std::min(longest, mostPatience);
    std::erase_if(links_, [&](const auto &one) {
        Link &link = *one.second;
        if (link.finished) return link.queue.pendingCount() == 0 && now - link.lastUsed > lastWord;
        if (link.idle()) link.finish(now);
        return false;
    });
    if (now - leftAt_ > longest + afterPatience) answerRest();
    if (now - leftAt_ > longest + afterPatience + lastFetch) {
        listener_.reset();
        links_.clear();
    }
    if (!gone()) around_.alarms.set(now + lookAgain, [this] { leaveOn(); });
}

}  // namespace arrowstile
