#include "comfrey-load/report.h"

#include <algorithm>
#include <iomanip>
#include <map>
#include <set>
#include <sstream>

#include "comfrey-load/centralqueue.h"
#include "common/httpclient.h"

namespace comfrey::load {

namespace {

constexpr double kBinSeconds = 0.5; // of the figures over time

double quantile(std::vector<double> values, double share)
{
    if (values.empty())
        return 0;
    const auto index = static_cast<std::size_t>(share * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(index),
                     values.end());
    return values[index];
}

nlohmann::json quantiles(const std::vector<double> &values)
{
    return {{"count", values.size()},
            {"p50", quantile(values, 0.5)},
            {"p95", quantile(values, 0.95)},
            {"p99", quantile(values, 0.99)},
            {"highest", quantile(values, 1)}};
}

const char *endName(SampleEnd end)
{
    switch (end) {
    case SampleEnd::Answered:
        return "answered";
    case SampleEnd::Refused:
        return "refused";
    case SampleEnd::Failed:
        return "failed";
    case SampleEnd::Short:
        return "short";
    case SampleEnd::Foreign:
        return "foreign";
    case SampleEnd::Wrong:
        return "wrong";
    case SampleEnd::Broken:
        return "broken";
    case SampleEnd::NotSent:
        return "not_sent";
    }
    return "";
}

double ratio(double part, double whole)
{
    return whole > 0 ? part / whole : 0;
}

double contractMs(Duration time)
{
    return std::chrono::duration<double, std::milli>(time).count();
}

class Summary
{
public:
    Summary(const Workload &workload, const std::vector<PlannedRequest> &requests,
            const std::vector<Sample> &samples, const RunFacts &facts)
        : m_workload(workload), m_requests(requests), m_samples(samples), m_facts(facts)
    { }

    nlohmann::json make()
    {
        for (const Sample &sample : m_samples) {
            if (sample.request->kind == PlannedKind::Chat
                && sample.request->at >= m_workload.warmUpSeconds)
                addChat(sample);
        }
        nlohmann::json report = {{"workload", m_workload.name},
                                 {"seed", m_facts.seed},
                                 {"time_scale", m_facts.timeScale},
                                 {"chats", chats()},
                                 {"services", services()},
                                 {"crashing", crashing()},
                                 {"lateness_ms", quantiles(m_facts.latenessMs)}};
        addCrest(report);
        return report;
    }

private:
    double model(double wallMs) const { return wallMs / m_facts.timeScale; }

    bool isInContract(const Sample &sample) const
    {
        if (sample.end != SampleEnd::Answered)
            return false;
        const double first = contractMs(m_workload.contract.firstToken);
        const double between = contractMs(m_workload.contract.betweenTokens);
        if (!sample.request->isStreamed)
            return model(sample.totalMs) <= first + between * sample.request->answerTokens;
        return model(sample.firstTokenMs) <= first && model(sample.meanGapMs) <= between;
    }

    void addChat(const Sample &sample)
    {
        ++m_ends[endName(sample.end)];
        if (sample.end == SampleEnd::Refused)
            ++m_codes[std::to_string(sample.status) + " " + sample.code];
        ++m_outcomes[sample.outcome.empty() ? "none" : sample.outcome];
        if (isInContract(sample))
            ++m_inContract;
        const std::string &name = m_workload.organisations[sample.request->organisation].name;
        m_byOrganisation[name].push_back(&sample);
        if (sample.end != SampleEnd::Answered)
            return;
        m_cached += sample.cachedTokens;
        m_possible += sample.request->possibleCached;
        m_total.push_back(model(sample.totalMs));
        if (!sample.request->isStreamed)
            return;
        m_first.push_back(model(sample.firstTokenMs));
        if (!sample.request->isStraggler)
            m_firstShort.push_back(model(sample.firstTokenMs));
        m_gaps.push_back(model(sample.meanGapMs));
        m_longestGaps.push_back(model(sample.longestGapMs));
    }

    nlohmann::json chats() const
    {
        const double count = std::max(1.0, static_cast<double>(countedChats()));
        return {{"counted", countedChats()},
                {"ends", m_ends},
                {"refused_by_code", m_codes},
                {"outcomes", m_outcomes},
                {"in_contract", ratio(m_inContract, count)},
                {"cached_tokens", m_cached},
                {"possible_cached_tokens", m_possible},
                {"cache_reuse", ratio(m_cached, m_possible)},
                {"first_token_ms", quantiles(m_first)},
                {"first_token_short_ms", quantiles(m_firstShort)},
                {"between_tokens_ms", quantiles(m_gaps)},
                {"longest_gap_ms", quantiles(m_longestGaps)},
                {"total_ms", quantiles(m_total)},
                {"by_organisation", organisations()}};
    }

    std::size_t countedChats() const
    {
        std::size_t count = 0;
        for (const auto &[name, number] : m_ends)
            count += number;
        return count;
    }

    nlohmann::json organisations() const
    {
        nlohmann::json result = nlohmann::json::object();
        for (const auto &[name, samples] : m_byOrganisation) {
            std::vector<double> first;
            std::size_t inContract = 0;
            for (const Sample *sample : samples) {
                inContract += isInContract(*sample) ? 1 : 0;
                if (sample->end == SampleEnd::Answered && sample->request->isStreamed)
                    first.push_back(model(sample->firstTokenMs));
            }
            result[name] = {{"counted", samples.size()},
                            {"in_contract", ratio(inContract, samples.size())},
                            {"first_token_p99_ms", quantile(first, 0.99)}};
        }
        return result;
    }

    nlohmann::json askCounts(const std::string &path) const
    {
        nlohmann::json sum = {{"calls", 0}, {"keys", 0}, {"repeats", 0}};
        for (const Endpoint &service : m_facts.services) {
            const auto client = makeHttpClient(service, HttpClientOptions());
            const httplib::Result result = client->Get(path);
            if (!result)
                continue;
            const nlohmann::json answer = nlohmann::json::parse(result->body, nullptr, false);
            for (const char *key : {"calls", "keys", "repeats"})
                sum[key] = sum[key].get<std::uint64_t>() + answer.value(key, std::uint64_t(0));
        }
        return sum;
    }

    nlohmann::json services() const
    {
        std::map<std::string, std::size_t> ends;
        std::map<std::string, std::size_t> codes;
        std::size_t sends = 0;
        std::size_t repeats = 0;
        std::size_t falseNotRun = 0;
        for (const Sample &sample : m_samples) {
            if (sample.request->kind != PlannedKind::ServiceCall)
                continue;
            ++ends[endName(sample.end)];
            sends += sample.sends;
            if (!sample.code.empty())
                ++codes[sample.code];
            const std::uint64_t runs = runsOf(sample);
            repeats += runs > 1 ? 1 : 0;
            falseNotRun +=
                sample.end != SampleEnd::NotSent && !sample.mayHaveRun && runs > 0 ? 1 : 0;
        }
        return {{"ends", ends},         {"last_codes", codes},
                {"sends", sends},       {"counts", askCounts("/counts")},
                {"run_twice", repeats}, {"false_not_run", falseNotRun}};
    }

    std::uint64_t runsOf(const Sample &sample) const
    {
        // A call that was answered at its first send needs no look: the sums show its repeats.
        if (sample.sends == 1 && sample.wasAnswered)
            return 1;
        const std::string path = "/counts?key=" + sample.request->idempotencyKey;
        return askCounts(path).at("calls").get<std::uint64_t>();
    }

    nlohmann::json crashing() const
    {
        std::map<std::string, std::size_t> codes;
        std::size_t sends = 0;
        for (const Sample &sample : m_samples) {
            if (sample.request->kind != PlannedKind::Crashing)
                continue;
            sends += sample.sends;
            ++codes[sample.code.empty() ? "broken" : sample.code];
        }
        return {{"sends", sends}, {"last_codes", codes}};
    }

    bool isAtCrest(double at) const
    {
        return std::any_of(
            m_workload.bursts.begin(), m_workload.bursts.end(),
            [at](const Burst &burst) { return at >= burst.at && at < burst.at + burst.seconds; });
    }

    void addCrest(nlohmann::json &report) const
    {
        const std::vector<bool> reference = serveCentrally(m_workload, m_requests);
        const auto bins = static_cast<std::size_t>(m_workload.seconds / kBinSeconds) + 1;
        std::vector<std::size_t> arrived(bins);
        std::vector<std::size_t> ours(bins);
        std::vector<std::size_t> central(bins);
        double oursAtCrest = 0;
        double centralAtCrest = 0;
        for (const Sample &sample : m_samples) {
            if (sample.request->kind != PlannedKind::Chat)
                continue;
            const auto index = static_cast<std::size_t>(sample.request - m_requests.data());
            const auto bin = static_cast<std::size_t>(sample.request->at / kBinSeconds);
            const bool isServed = isInContract(sample);
            ++arrived[bin];
            ours[bin] += isServed ? 1 : 0;
            central[bin] += reference[index] ? 1 : 0;
            if (!isAtCrest(sample.request->at))
                continue;
            oursAtCrest += isServed ? 1 : 0;
            centralAtCrest += reference[index] ? 1 : 0;
        }
        report["crest"] = {{"in_contract", oursAtCrest},
                           {"central_in_contract", centralAtCrest},
                           {"ratio", ratio(oursAtCrest, centralAtCrest)}};
        report["over_time"] = {{"bin_seconds", kBinSeconds},
                               {"arrived", arrived},
                               {"in_contract", ours},
                               {"central_in_contract", central}};
    }

    const Workload &m_workload;
    const std::vector<PlannedRequest> &m_requests;
    const std::vector<Sample> &m_samples;
    const RunFacts &m_facts;
    std::map<std::string, std::size_t> m_ends;
    std::map<std::string, std::size_t> m_codes;
    std::map<std::string, std::size_t> m_outcomes;
    std::map<std::string, std::vector<const Sample *>> m_byOrganisation;
    double m_inContract = 0;
    double m_cached = 0;
    double m_possible = 0;
    std::vector<double> m_first; ///< Model milliseconds, like the next four.
    std::vector<double> m_firstShort;
    std::vector<double> m_gaps;
    std::vector<double> m_longestGaps;
    std::vector<double> m_total;
};

void addLine(std::ostringstream &out, const char *name, const nlohmann::json &value)
{
    out << std::left << std::setw(28) << name << value.dump() << '\n';
}

} // namespace

nlohmann::json makeReport(const Workload &workload, const std::vector<PlannedRequest> &requests,
                          const std::vector<Sample> &samples, const RunFacts &facts)
{
    return Summary(workload, requests, samples, facts).make();
}

std::string reportTable(const nlohmann::json &report)
{
    const nlohmann::json &chats = report.at("chats");
    std::ostringstream out;
    addLine(out, "workload", report.at("workload"));
    addLine(out, "chats", chats.at("ends"));
    addLine(out, "refused by code", chats.at("refused_by_code"));
    addLine(out, "in contract", chats.at("in_contract"));
    addLine(out, "cache reuse", chats.at("cache_reuse"));
    addLine(out, "first token, ms", chats.at("first_token_ms"));
    addLine(out, "first token of short, ms", chats.at("first_token_short_ms"));
    addLine(out, "between tokens, ms", chats.at("between_tokens_ms"));
    addLine(out, "crest", report.at("crest"));
    addLine(out, "service calls", report.at("services"));
    addLine(out, "crashing requests", report.at("crashing"));
    addLine(out, "lateness of the tool, ms", report.at("lateness_ms"));
    return out.str();
}

} // namespace comfrey::load
