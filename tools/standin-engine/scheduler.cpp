#include "standin-engine/scheduler.h"

#include <algorithm>
#include <utility>

#include <glog/logging.h>

#include "common/program.h"

namespace comfrey::standin {

namespace {

constexpr int kCrashExitCode = 70;

bool hasEnded(const Sequence &sequence)
{
    return sequence.state == SequenceState::Finished || sequence.state == SequenceState::Cancelled;
}

} // namespace

Scheduler::Scheduler(const EngineModel &model)
    : m_model(model), m_cache(model.cacheTokens), m_thread([this] { run(); })
{ }

Scheduler::~Scheduler()
{
    {
        const std::lock_guard lock(m_mutex);
        m_isStopping = true;
    }
    m_submitted.notify_all();
    m_thread.join();
}

bool Scheduler::submit(const std::shared_ptr<Sequence> &sequence)
{
    const std::lock_guard lock(m_mutex);
    if (m_waiting.size() >= m_model.queueLimit)
        return false;
    sequence->arrival = std::chrono::steady_clock::now();
    sequence->produced = sequence->resumeAt;
    m_waiting.push_back(sequence);
    ++m_counts.accepted;
    m_counts.highestLoad = std::max(m_counts.highestLoad, load());
    m_submitted.notify_all();
    return true;
}

void Scheduler::cancel(const std::string &id)
{
    const std::lock_guard lock(m_mutex);
    for (List *list : {&m_waiting, &m_running}) {
        for (const auto &sequence : *list) {
            if (sequence->id != id || hasEnded(*sequence))
                continue;
            sequence->state = SequenceState::Cancelled;
            ++m_counts.cancelled;
            sequence->changed.notify_all();
        }
        dropEnded(*list);
    }
}

Progress Scheduler::await(Sequence &sequence, Tokens seen, Duration limit)
{
    std::unique_lock lock(m_mutex);
    sequence.changed.wait_for(lock, limit,
                              [&] { return sequence.produced > seen || hasEnded(sequence); });
    return {sequence.state, sequence.produced, sequence.cachedTokens};
}

double Scheduler::effectivePriority(const Sequence &sequence,
                                    std::chrono::steady_clock::time_point now) const
{
    const std::chrono::duration<double> waited = now - sequence.arrival;
    const std::chrono::duration<double> ageing = m_model.scaled(m_model.ageing);
    return sequence.priority + waited / ageing;
}

void Scheduler::fillSlots(std::chrono::steady_clock::time_point now)
{
    while (!m_waiting.empty() && m_running.size() < m_model.slots) {
        const auto next = std::max_element(
            m_waiting.begin(), m_waiting.end(), [&](const auto &left, const auto &right) {
                return effectivePriority(*left, now) < effectivePriority(*right, now);
            });
        enterSlot(*next);
        m_waiting.erase(next);
    }
}

void Scheduler::enterSlot(const std::shared_ptr<Sequence> &sequence)
{
    if (sequence->hasCrashMarker) {
        LOG(ERROR) << "event=crashed request=" << sequence->id;
        exitNow(kCrashExitCode);
    }
    const Tokens needed = sequence->promptTokens + sequence->resumeAt;
    sequence->cachedTokens = m_cache.lookUp(sequence->parts);
    sequence->prefillLeft = needed - std::min(needed, sequence->cachedTokens);
    sequence->state = SequenceState::Running;
    m_counts.promptTokens += sequence->promptTokens;
    m_counts.cachedTokens += sequence->cachedTokens;
    m_running.push_back(sequence);
}

Tokens Scheduler::prefillStep()
{
    Tokens budget = m_model.prefillPerStep;
    for (const auto &sequence : m_running) {
        const Tokens part = std::min(budget, sequence->prefillLeft);
        sequence->prefillLeft -= part;
        budget -= part;
    }
    return m_model.prefillPerStep - budget;
}

void Scheduler::decodeStep()
{
    for (const auto &sequence : m_running) {
        if (sequence->prefillLeft > 0 || hasEnded(*sequence))
            continue;
        if (sequence->produced < sequence->answerTokens)
            ++sequence->produced;
        if (sequence->produced >= sequence->answerTokens)
            finish(*sequence);
        sequence->changed.notify_all();
    }
    dropEnded(m_running);
}

void Scheduler::finish(Sequence &sequence)
{
    const std::string answer = answerText(sequence.promptKey(), sequence.answerTokens);
    std::vector<PromptPart> parts = sequence.parts;
    parts.push_back(promptPart(sequence.promptKey(), "assistant", answer));
    m_cache.store(sequence.chat, parts, sequence.sharedPrefix);
    sequence.state = SequenceState::Finished;
    ++m_counts.finished;
}

void Scheduler::dropEnded(List &list)
{
    std::erase_if(list, [](const auto &sequence) { return hasEnded(*sequence); });
}

void Scheduler::run()
{
    auto stepEnd = std::chrono::steady_clock::now();
    std::unique_lock lock(m_mutex);
    while (!m_isStopping) {
        if (load() == 0) {
            m_submitted.wait(lock, [this] { return load() > 0 || m_isStopping; });
            stepEnd = std::chrono::steady_clock::now();
        }
        fillSlots(std::chrono::steady_clock::now());
        const Tokens prefilled = prefillStep();
        const Duration time = m_model.step + m_model.stepPerRequest * m_running.size()
            + m_model.prefillPerToken * prefilled;
        stepEnd = std::max(stepEnd, std::chrono::steady_clock::now() - m_model.scaled(m_model.step))
            + m_model.scaled(time, m_slowFactor.load());
        lock.unlock();
        std::this_thread::sleep_until(stepEnd);
        lock.lock();
        decodeStep();
    }
}

SchedulerCounts Scheduler::counts() const
{
    const std::lock_guard lock(m_mutex);
    SchedulerCounts counts = m_counts;
    counts.running = m_running.size();
    counts.waiting = m_waiting.size();
    return counts;
}

SchedulerCounts Scheduler::takeHighestLoad()
{
    SchedulerCounts result = counts();
    const std::lock_guard lock(m_mutex);
    m_counts.highestLoad = load();
    return result;
}

std::vector<CacheNotice> Scheduler::takeCacheNotices()
{
    const std::lock_guard lock(m_mutex);
    return m_cache.takeNotices();
}

std::vector<PromptPart> Scheduler::exportChat(const std::string &chat) const
{
    const std::lock_guard lock(m_mutex);
    return m_cache.partsOf(chat);
}

void Scheduler::importChat(const std::string &chat, const std::vector<PromptPart> &parts)
{
    const std::lock_guard lock(m_mutex);
    m_cache.store(chat, parts, 0);
}

} // namespace comfrey::standin
