/// \file
/// A worker for tests with many calls at once: it serves all connections of a listener in a thread of its
/// own.
#pragma once

#include <mutex>

#include "gateway_fixture.hpp"

namespace arrowstile::testing {

/// The value that the stand-in gives to a call with this request id.
inline std::string valueOf(std::string_view requestId, std::size_t valueBytes) {
    std::string value = "value of " + std::string(requestId) + " ";
    value.resize(std::max(value.size(), valueBytes), '.');
    return value;
}

/// Answers every call at once with a value that names the call, except those of route "dispatch", and those
/// with a request id that begins with 'f': these get no answer before release().
class WorkerStandIn {
public:
    /// `valueBytes` is the length of the values. The listener must outlive the worker.
    WorkerStandIn(const Socket &listener, std::size_t valueBytes)
        : listener_(listener), valueBytes_(valueBytes), thread_([this] { run(); }) {}
    ~WorkerStandIn() {
        isEnding_ = true;
        thread_.join();
    }

    /// From now on all calls are answered.
    void release() { isReleased_ = true; }
    std::size_t commandCount() const {
        const std::lock_guard lock(mutex_);
        return commands_.size();
    }
    /// The commands that have come, as text.
    std::vector<std::string> commands() const {
        const std::lock_guard lock(mutex_);
        return commands_;
    }

private:
    struct Connection {
        Socket socket;
        std::string input;
        std::string heldId;  ///< of a call that is answered after release()
    };

    void run() {
        while (!isEnding_) {
            while (listener_.waitReadable(milliseconds(0)))
                connections_.push_back({listener_.accept(), {}, {}});
            bool isIdle = true;
            for (Connection &connection : connections_) isIdle = !serve(connection) && isIdle;
            std::erase_if(connections_,
                          [](const Connection &connection) { return !connection.socket.isOpen(); });
            if (isIdle) std::this_thread::sleep_for(std::chrono::microseconds(200));
        }
    }

    /// Returns whether there was something to do.
    bool serve(Connection &connection) {
        if (isReleased_ && !connection.heldId.empty()) {
            answer(connection, std::exchange(connection.heldId, {}));
            return true;
        }
        if (!connection.socket.waitReadable(milliseconds(0))) return false;
        connection.input += connection.socket.read(kCallEnd, milliseconds(100));
        if (connection.input.ends_with("<closed>")) {
            connection.socket.close();
            return true;
        }
        resp::Command command;
        if (resp::parseCommand(connection.input, command) != resp::ParseResult::complete) return true;
        const std::string id(command.arguments[2]);
        const bool isHeld = id.starts_with('f') || connection.input.find("c=dispatch") != std::string::npos;
        {
            const std::lock_guard lock(mutex_);
            commands_.push_back(connection.input.substr(0, command.consumedBytes));
        }
        connection.input.erase(0, command.consumedBytes);
        if (isHeld && !isReleased_)
            connection.heldId = id;
        else
            answer(connection, id);
        return true;
    }

    void answer(const Connection &connection, std::string_view id) const {
        connection.socket.write("*3\r\n" + bulkString(valueOf(id, valueBytes_)) + "$-1\r\n$-1\r\n");
    }

    const Socket &listener_;
    const std::size_t valueBytes_;
    std::vector<Connection> connections_;
    std::vector<std::string> commands_;
    mutable std::mutex mutex_;
    std::atomic<bool> isReleased_ = false;
    std::atomic<bool> isEnding_ = false;
    std::thread thread_;
};

/// Reads a client's answers one by one.
class AnswerReader {
public:
    explicit AnswerReader(const Socket &socket) : socket_(socket) {}

    /// Returns the next answer: a value as "value of ID" if it is whole, an error with its leading '-', other
    /// answers as they are without their encoding; "<closed>" if the connection has ended, "<none>" if
    /// nothing comes within `maxWait`.
    std::string next(milliseconds maxWait = milliseconds(3000)) {
        while (true) {
            resp::Reply reply;
            if (resp::parseReply(input_, reply, kMaxValueBytes) == resp::ParseResult::complete) {
                const bool isError = reply.kind == resp::Reply::Kind::error;
                const std::string text = (isError ? "-" : "") + std::string(reply.text);
                input_.erase(0, reply.consumedBytes);
                return shortForm(text);
            }
            if (isClosed_) return "<closed>";
            const std::string text = socket_.read("\n", maxWait);
            if (text.empty()) return "<none>";
            isClosed_ = text.ends_with("<closed>");
            input_ += isClosed_ ? text.substr(0, text.size() - std::string_view("<closed>").size()) : text;
        }
    }

private:
    static constexpr std::size_t kMaxValueBytes = 1024 * 1024;

    static std::string shortForm(const std::string &text) {
        constexpr std::size_t prefixBytes = std::string_view("value of ").size();
        if (!text.starts_with("value of ")) return text;
        const std::string id = text.substr(prefixBytes, text.find(' ', prefixBytes) - prefixBytes);
        const bool isWhole = text == valueOf(id, text.size());
        return isWhole ? text.substr(0, prefixBytes) + id : "a spoilt value of " + id;
    }

    const Socket &socket_;
    std::string input_;
    bool isClosed_ = false;
};

}  // namespace arrowstile::testing
