#include "node.hpp"

#include <algorithm>
#include <cmath>

namespace arrowstile::lab {

double RandomSource::drawExponential(double mean) { return -mean * std::log(1 - drawUniform()); }

/// Draws from the continuous power law on [1, count + 1) by inversion and rounds down. Unlike the exact Zipf
/// distribution this needs no table of weights, and the shape is the same for every count.
std::size_t RandomSource::drawSkewedIndex(std::size_t count, double skew) {
    if (skew <= 0) return drawIndex(count);
    const double upperBound = static_cast<double>(count) + 1;
    const double uniform = drawUniform();
    const double exponent = 1 - skew;
    const double drawn = std::abs(exponent) < 1e-9
                             ? std::pow(upperBound, uniform)
                             : std::pow(1 + uniform * (std::pow(upperBound, exponent) - 1), 1 / exponent);
    return std::min(count - 1, static_cast<std::size_t>(drawn) - 1);
}

double Node::capacityFraction(Timestamp now) const {
    const double warmth =
        spec_.warmUp > Duration{} ? std::clamp(toMs(now - startedAt_) / toMs(spec_.warmUp), 0.0, 1.0) : 1;
    return spec_.coldCapacityFraction + (1 - spec_.coldCapacityFraction) * warmth;
}

double Node::availableCapacity(Timestamp now) const {
    if (!isAlive_ || isSilent_ || isDraining_) return 0;
    return capacityFraction(now) * spec_.cores * spec_.speed / slowdown_;
}

/// Adds a job to the load on a cold node, and crashes the node if that is too much. All work sent to the node
/// counts, including jobs that it rejects.
void Node::checkColdLoad(Timestamp now, double workMs) {
    if (!isCold(now) || spec_.coldOverloadFactor <= 0) return;
    coldLoad_.emplace_back(now, workMs);
    coldLoadMs_ += workMs;
    while (!coldLoad_.empty() && coldLoad_.front().first < now - spec_.coldOverloadWindow) {
        coldLoadMs_ -= coldLoad_.front().second;
        coldLoad_.pop_front();
    }
    const double maxLoadMs = spec_.coldOverloadFactor * capacityFraction(now) * spec_.cores * spec_.speed *
                             toMs(spec_.coldOverloadWindow);
    maxColdLoadFraction_ = std::max(maxColdLoadFraction_, coldLoadMs_ / maxLoadMs);
    if (coldLoadMs_ > maxLoadMs) {
        crash();
        hasCrashedCold_ = true;
    }
}

void Node::start(Timestamp now, const Job &job) {
    const double runMs = job.workMs / (spec_.speed * capacityFraction(now)) * slowdown_;
    running_.push_back({now + fromMs(runMs), job, random_.drawUniform() < failureFraction_});
}

std::optional<JobResult> Node::submit(Timestamp now, const Job &job) {
    checkColdLoad(now, job.workMs);
    if (!isAlive_) return std::nullopt;
    if (isDraining_) return JobResult{job.id, JobOutcome::rejected, false, queueLength()};
    while (!tokenExpiries_.empty() && tokenExpiries_.front().first < now) {
        tokenedCalls_.erase(tokenExpiries_.front().second);
        tokenExpiries_.pop_front();
    }
    Job accepted = job;
    if (job.isTokened && !tokenedCalls_.insert(job.call).second)
        accepted.workMs = 0;  // a repeat: takes its turn and is answered, but not run again
    else if (job.isTokened)
        tokenExpiries_.emplace_back(now + job.dedupWindow, job.call);
    if (running_.size() < spec_.cores) {
        start(now, accepted);
    } else if (queue_.size() < spec_.maxQueueLength) {
        queue_.push_back(accepted);
    } else {
        // A rejected call has had no effect, so its next try is not a repeat.
        if (job.isTokened && accepted.workMs > 0) tokenedCalls_.erase(job.call);
        return JobResult{job.id, JobOutcome::rejected, false, queueLength()};
    }
    return std::nullopt;
}

void Node::cancel(JobId id) {
    std::erase_if(queue_, [id](const Job &job) { return job.id == id; });
}

std::optional<Timestamp> Node::nextCompletion() const {
    if (running_.empty()) return std::nullopt;
    return std::ranges::min_element(running_, {}, &RunningJob::endsAt)->endsAt;
}

std::vector<JobResult> Node::takeCompleted(Timestamp now) {
    std::vector<JobResult> results;
    while (isAlive_ && !running_.empty()) {
        const auto first = std::ranges::min_element(running_, {}, &RunningJob::endsAt);
        if (first->endsAt > now) break;
        const RunningJob done = *first;
        running_.erase(first);
        results.push_back({done.job.id, done.willFail ? JobOutcome::errored : JobOutcome::answered,
                           done.job.workMs > 0, queueLength()});
        if (!queue_.empty()) {
            const Job next = queue_.front();
            queue_.pop_front();
            start(done.endsAt, next);
        }
    }
    return results;
}

void Node::crash() {
    isAlive_ = false;
    running_.clear();
    queue_.clear();
}

}  // namespace arrowstile::lab
