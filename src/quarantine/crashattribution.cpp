// Greedy search for the fewest causes that explain the crashes.
#include "quarantine/crashattribution.h"

#include <algorithm>
#include <limits>
#include <tuple>

namespace comfrey {

namespace {

constexpr std::size_t kRequestDepth = std::numeric_limits<std::size_t>::max();
constexpr int kRefusalGrowth = 3; ///< Refusal per time over which the part has crashed servers.

} // namespace

void CrashAttribution::recordCrash(const CrashReport &report)
{
    const auto [known, isNew] = m_causesOfCrash.try_emplace(report.incarnation);
    if (isNew)
        m_crashes.emplace_back(report.crashedAt, report.incarnation);
    const std::size_t candidates = std::min(report.candidates.size(), kMaxCandidates);
    for (std::size_t index = 0; index < candidates; ++index) {
        const CrashCandidate &candidate = report.candidates[index];
        const Occurrence occurrence{report.incarnation, report.reporter, report.crashedAt,
                                    candidate.sentAt};
        addOccurrence({true, candidate.request.value()}, kRequestDepth, false, occurrence);
        const std::size_t parts = std::min(candidate.parts.size(), kMaxPartsPerCandidate);
        for (std::size_t depth = 0; depth < parts; ++depth) {
            const CandidatePart &part = candidate.parts[depth];
            addOccurrence({false, part.id.value()}, depth, part.isFamiliar, occurrence);
        }
    }
    while (m_occurrenceCount > kMaxOccurrences && m_crashes.size() > 1)
        evictOldestCrash();
    m_hasNewEvidence = true;
}

void CrashAttribution::addOccurrence(const Cause &cause, std::size_t depth, bool isFamiliar,
                                     Occurrence occurrence)
{
    Evidence &evidence = m_evidence[cause];
    evidence.depth = std::max(evidence.depth, depth);
    evidence.isFamiliar = evidence.isFamiliar || isFamiliar
        || (!cause.isRequest && this->isFamiliar(PromptPartId(cause.id)));
    const auto found =
        std::find_if(evidence.occurrences.begin(), evidence.occurrences.end(),
                     [&](const Occurrence &o) { return o.incarnation == occurrence.incarnation; });
    if (found != evidence.occurrences.end()) {
        found->crashedAt = std::min(found->crashedAt, occurrence.crashedAt);
        found->sentAt = std::max(found->sentAt, occurrence.sentAt);
        found->reporter = std::min(found->reporter, occurrence.reporter);
        return;
    }
    m_causesOfCrash[occurrence.incarnation].push_back(cause);
    ++m_occurrenceCount;
    const auto position =
        std::upper_bound(evidence.occurrences.begin(), evidence.occurrences.end(), occurrence,
                         [](const Occurrence &left, const Occurrence &right) {
                             return left.crashedAt < right.crashedAt;
                         });
    evidence.occurrences.insert(position, std::move(occurrence));
}

void CrashAttribution::evictOldestCrash()
{
    const auto oldest = std::min_element(m_crashes.begin(), m_crashes.end());
    const auto causes = m_causesOfCrash.extract(oldest->second);
    for (const Cause &cause : causes.mapped()) {
        const auto found = m_evidence.find(cause);
        m_occurrenceCount -=
            std::erase_if(found->second.occurrences, [&](const Occurrence &occurrence) {
                return occurrence.incarnation == causes.key();
            });
        if (found->second.occurrences.empty())
            m_evidence.erase(found);
    }
    m_crashes.erase(oldest);
    m_hasNewEvidence = true;
}

bool CrashAttribution::isFamiliar(PromptPartId part) const
{
    return m_familiar.count(part) > 0 || m_olderFamiliar.count(part) > 0;
}

void CrashAttribution::onSoundAnswer(const std::vector<PromptPartId> &parts, TimePoint begunAt)
{
    for (const PromptPartId part : parts) {
        if (m_familiar.size() >= kMaxFamiliarParts)
            m_olderFamiliar = std::exchange(m_familiar, {});
        m_familiar.insert(part);
        if (m_evidence.empty())
            continue;
        const auto found = m_evidence.find({false, part.value()});
        if (found == m_evidence.end())
            continue;
        const auto &occurrences = found->second.occurrences;
        const bool forgivesCrash =
            std::any_of(occurrences.begin(), occurrences.end(), [&](const Occurrence &occurrence) {
                return occurrence.crashedAt > found->second.soundSince
                    && occurrence.crashedAt < begunAt;
            });
        if (!forgivesCrash)
            continue;
        m_soundAnswers.push_back({part, begunAt});
        forgive(part, begunAt);
    }
}

void CrashAttribution::onRemoteSoundAnswer(const SoundAnswer &answer)
{
    forgive(answer.part, answer.begunAt);
}

void CrashAttribution::forgive(PromptPartId part, TimePoint begunAt)
{
    const auto found = m_evidence.find({false, part.value()});
    if (found == m_evidence.end() || begunAt <= found->second.soundSince)
        return;
    found->second.soundSince = begunAt;
    found->second.isFamiliar = true;
    m_hasNewEvidence = true;
}

std::size_t CrashAttribution::successiveCrashes(const Evidence &evidence,
                                                const std::set<std::string> &explained)
{
    std::size_t count = 0;
    TimePoint previous = evidence.soundSince;
    for (const Occurrence &occurrence : evidence.occurrences) {
        if (occurrence.crashedAt <= evidence.soundSince
            || explained.count(occurrence.incarnation) > 0)
            continue;
        if (count > 0 && occurrence.sentAt <= previous)
            continue;
        previous = occurrence.crashedAt;
        ++count;
    }
    return count;
}

std::map<PromptPartId, CrashAttribution::RefusedPart> CrashAttribution::attribute()
{
    std::vector<std::pair<const Cause *, const Evidence *>> repeated;
    for (const auto &[cause, evidence] : m_evidence) {
        if (evidence.occurrences.size() >= kCrashesBeforeRefusal)
            repeated.emplace_back(&cause, &evidence);
    }
    std::map<PromptPartId, RefusedPart> refused;
    std::set<std::string> explained;
    m_explainedCrashes.clear();
    while (true) {
        // Most crashes above the minimum first, then unfamiliar causes, then the most specific; the
        // id breaks ties.
        using Rank = std::tuple<std::size_t, bool, std::size_t, std::uint64_t>;
        Rank bestRank;
        std::pair<const Cause *, const Evidence *> best{nullptr, nullptr};
        for (const auto &[cause, evidence] : repeated) {
            const std::size_t crashes = successiveCrashes(*evidence, explained);
            const std::size_t minimum =
                evidence->isFamiliar ? kFamiliarCrashesBeforeRefusal : kCrashesBeforeRefusal;
            if (crashes < minimum)
                continue;
            const Rank rank{crashes - minimum, !evidence->isFamiliar, evidence->depth, cause->id};
            if (best.first == nullptr || rank > bestRank) {
                best = {cause, evidence};
                bestRank = rank;
            }
        }
        if (best.first == nullptr)
            return refused;
        if (!best.first->isRequest)
            refused.emplace(PromptPartId(best.first->id), refusedPart(*best.second));
        for (const Occurrence &occurrence : best.second->occurrences) {
            if (occurrence.crashedAt <= best.second->soundSince)
                continue;
            explained.insert(occurrence.incarnation);
            if (!best.first->isRequest)
                m_explainedCrashes.insert(occurrence.incarnation);
        }
    }
}

std::vector<PartCrash> CrashAttribution::ownCrashes(PromptPartId part) const
{
    std::vector<PartCrash> crashes;
    const auto found = m_evidence.find({false, part.value()});
    if (found == m_evidence.end())
        return crashes;
    for (const Occurrence &occurrence : found->second.occurrences) {
        if (occurrence.reporter == m_self && occurrence.crashedAt > found->second.soundSince)
            crashes.push_back({occurrence.incarnation, occurrence.crashedAt, occurrence.sentAt,
                               found->second.isFamiliar});
    }
    return crashes;
}

CrashAttribution::RefusedPart CrashAttribution::refusedPart(const Evidence &evidence)
{
    RefusedPart part;
    for (const Occurrence &occurrence : evidence.occurrences) {
        if (occurrence.crashedAt <= evidence.soundSince)
            continue;
        if (part.crashes++ == 0)
            part.firstCrashAt = occurrence.crashedAt;
        part.lastCrashAt = occurrence.crashedAt;
        part.probeOwner = occurrence.reporter;
    }
    return part;
}

TimePoint CrashAttribution::refusedUntil(const RefusedPart &part)
{
    const Duration period = (part.lastCrashAt - part.firstCrashAt) * kRefusalGrowth;
    return part.lastCrashAt + std::clamp(period, kMinRefusal, kMaxRefusal);
}

std::vector<PartVerdict> CrashAttribution::update(TimePoint now)
{
    while (!m_crashes.empty()
           && now - std::min_element(m_crashes.begin(), m_crashes.end())->first >= kCrashRetention)
        evictOldestCrash();
    if (!std::exchange(m_hasNewEvidence, false))
        return {};
    const auto before = std::exchange(m_refused, attribute());
    std::vector<PartVerdict> changes;
    for (const auto &[part, refused] : m_refused) {
        const auto found = before.find(part);
        if (found == before.end() || found->second.crashes != refused.crashes)
            changes.push_back({part, true, refused.crashes});
    }
    for (const auto &[part, refused] : before) {
        if (m_refused.count(part) > 0)
            continue;
        m_probedAt.erase(part);
        changes.push_back({part, false, refused.crashes});
    }
    return changes;
}

Duration CrashAttribution::remainingRefusal(const std::vector<PromptPartId> &parts,
                                            TimePoint now) const
{
    Duration remaining(0);
    if (m_refused.empty())
        return remaining;
    for (const PromptPartId part : parts) {
        const auto found = m_refused.find(part);
        if (found != m_refused.end())
            remaining = std::max({remaining, kMinProbeInterval, refusedUntil(found->second) - now});
    }
    return remaining;
}

bool CrashAttribution::tryProbe(const std::vector<PromptPartId> &parts, TimePoint now)
{
    auto refused = m_refused.end();
    for (const PromptPartId part : parts) {
        const auto found = m_refused.find(part);
        if (found == m_refused.end())
            continue;
        if (refused != m_refused.end())
            return false;
        refused = found;
    }
    if (refused == m_refused.end() || refused->second.probeOwner != m_self
        || now < refusedUntil(refused->second))
        return false;
    const auto [probed, isFirst] = m_probedAt.try_emplace(refused->first, now);
    if (!isFirst && now - probed->second < kMinProbeInterval)
        return false;
    probed->second = now;
    return true;
}

} // namespace comfrey
