#include "node.hpp"

#include <algorithm>
#include <cmath>

namespace arrowstile::lab {

double Chance::exponential(double mean) { return -mean * std::log(1 - part()); }

/// The continuous law from 1 to count + 1, cut to whole numbers: no table, and the same shape at any count.
std::size_t Chance::skewed(std::size_t count, double skew) {
    if (skew <= 0) return below(count);
    const double last = static_cast<double>(count) + 1, at = part(), flat = 1 - skew;
    const double drawn =
        std::abs(flat) < 1e-9 ? std::pow(last, at) : std::pow(1 + at * (std::pow(last, flat) - 1), 1 / flat);
    return std::min(count - 1, static_cast<std::size_t>(drawn) - 1);
}

double Node::capacity(Timestamp now) const {
    const double warm =
        spec_.warmUp > Duration{} ? std::clamp(inMs(now - startedAt_) / inMs(spec_.warmUp), 0.0, 1.0) : 1;
    return spec_.coldShare + (1 - spec_.coldShare) * warm;
}

double Node::able(Timestamp now) const {
    if (!alive_ || silent_ || draining_) return 0;
    return capacity(now) * spec_.cores * spec_.speed / slower_;
}

/// All work that comes to a cold node counts against what it can do in the span, also what it turns away.
void Node::push(Timestamp now, double workMs) {
    if (!cold(now) || spec_.fallMultiple <= 0) return;
    pushes_.emplace_back(now, workMs);
    pushed_ += workMs;
    while (!pushes_.empty() && pushes_.front().first < now - spec_.fallSpan) {
        pushed_ -= pushes_.front().second;
        pushes_.pop_front();
    }
    const double most = spec_.fallMultiple * capacity(now) * spec_.cores * spec_.speed * inMs(spec_.fallSpan);
    worstPush_ = std::max(worstPush_, pushed_ / most);
    if (pushed_ > most) {
        die();
        fell_ = true;
    }
}

void Node::begin(Timestamp now, const Job &job) {
    const double took = job.workMs / (spec_.speed * capacity(now)) * slower_;
    running_.push_back({now + fromMs(took), job, chance_.part() < failing_});
}

std::optional<Ended> Node::offer(Timestamp now, const Job &job) {
    push(now, job.workMs);
    if (!alive_) return std::nullopt;
    if (draining_) return Ended{job.id, Fate::turnedAway, false, queue()};
    while (!seen_.empty() && seen_.front().first < now) {
        tokens_.erase(seen_.front().second);
        seen_.pop_front();
    }
    Job taken = job;
    if (job.tokened && !tokens_.insert(job.call).second)
        taken.workMs = 0;  // a repeat: known, not run again
    else if (job.tokened)
        seen_.emplace_back(now + job.window, job.call);
    if (running_.size() < spec_.cores) {
        begin(now, taken);
    } else if (waiting_.size() < spec_.waiting) {
        waiting_.push_back(taken);
    } else {
        if (job.tokened && taken.workMs > 0) tokens_.erase(job.call);
        return Ended{job.id, Fate::turnedAway, false, queue()};
    }
    return std::nullopt;
}

void Node::callOff(JobId id) {
    std::erase_if(waiting_, [id](const Job &one) { return one.id == id; });
}

std::optional<Timestamp> Node::next() const {
    if (running_.empty()) return std::nullopt;
    return std::ranges::min_element(running_, {}, &Running::until)->until;
}

std::vector<Ended> Node::ended(Timestamp now) {
    std::vector<Ended> out;
    while (alive_ && !running_.empty()) {
        const auto first = std::ranges::min_element(running_, {}, &Running::until);
        if (first->until > now) break;
        const Running done = *first;
        running_.erase(first);
        out.push_back(
            {done.job.id, done.fails ? Fate::errored : Fate::answered, done.job.workMs > 0, queue()});
        if (!waiting_.empty()) {
            const Job next = waiting_.front();
            waiting_.pop_front();
            begin(done.until, next);
        }
    }
    return out;
}

void Node::die() {
    alive_ = false;
    running_.clear();
    waiting_.clear();
}

}  // namespace arrowstile::lab
