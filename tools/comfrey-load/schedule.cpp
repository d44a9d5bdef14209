#include "comfrey-load/schedule.h"

#include <algorithm>
#include <deque>
#include <random>
#include <unordered_set>

#include <nlohmann/json.hpp>

namespace comfrey::load {

namespace {

using standin::PromptPart;

constexpr Tokens kMaxAnswerTokens = 1024; // what callers ask for; answers end before
constexpr std::size_t kBytesPerToken = 4;

struct Chat
{
    std::string id;
    nlohmann::json messages = nlohmann::json::array();
    std::vector<PromptPart> parts;
    std::uint32_t turns = 0;
    double freeAt = 0; ///< Model time from which the next turn may come.

    void add(const char *role, const std::string &content)
    {
        messages.push_back({{"role", role}, {"content", content}});
        const std::uint64_t previous = parts.empty() ? 0 : parts.back().key;
        parts.push_back(standin::promptPart(previous, role, content));
    }
};

/// Plans the chats of one organisation.
class ChatPlanner
{
public:
    ChatPlanner(const Workload &workload, std::size_t organisation, std::uint64_t seed)
        : m_workload(workload), m_index(organisation),
          m_organisation(workload.organisations[organisation]), m_random(seed),
          m_run(workload.name + std::to_string(seed))
    { }

    void plan(std::vector<PlannedRequest> &out)
    {
        // Thinning: arrivals at the highest rate, each kept with the share of the rate at its time.
        const double highest = m_organisation.rate * highestFactor();
        std::exponential_distribution<double> gap(highest);
        for (double now = gap(m_random); now < m_workload.seconds; now += gap(m_random)) {
            if (uniform() * highest < m_organisation.rate * factorAt(now))
                out.push_back(nextRequest(now));
        }
    }

private:
    bool concerns(const Burst &burst) const
    {
        const auto &names = burst.organisations;
        return names.empty()
            || std::find(names.begin(), names.end(), m_organisation.name) != names.end();
    }

    double factorAt(double now) const
    {
        double factor = 1;
        for (const Burst &burst : m_workload.bursts) {
            if (concerns(burst) && now >= burst.at && now < burst.at + burst.seconds)
                factor *= burst.factor;
        }
        return factor;
    }

    double highestFactor() const
    {
        double factor = 1;
        for (const Burst &burst : m_workload.bursts)
            factor = concerns(burst) ? std::max(factor, factorAt(burst.at)) : factor;
        return factor;
    }

    double uniform() { return std::uniform_real_distribution<double>(0, 1)(m_random); }

    /// Between half and one and a half times the mean.
    Tokens around(Tokens mean)
    {
        return std::max<Tokens>(1, static_cast<Tokens>(mean * (0.5 + uniform())));
    }

    std::string text(Tokens tokens)
    {
        std::string result;
        while (result.size() < tokens * kBytesPerToken)
            result += std::to_string(m_random()) + ' ';
        result.resize(tokens * kBytesPerToken);
        return result;
    }

    Chat newChat()
    {
        Chat chat;
        chat.id = m_organisation.name + "-" + m_run + "-" + std::to_string(m_chats++);
        std::string system = "You answer callers of " + m_organisation.name + ", " + m_run + ". ";
        system.resize(m_organisation.systemTokens * kBytesPerToken, '.');
        chat.add("system", system);
        return chat;
    }

    /// Continues the chat that waits longest among a random few, or starts a new one.
    Chat takeChat(double now)
    {
        std::vector<std::size_t> ready;
        for (std::size_t i = 0; i < m_open.size(); ++i) {
            if (m_open[i].freeAt <= now)
                ready.push_back(i);
        }
        if (ready.empty() || uniform() >= m_organisation.returning)
            return newChat();
        const std::size_t chosen =
            ready[std::uniform_int_distribution<std::size_t>(0, ready.size() - 1)(m_random)];
        Chat chat = std::move(m_open[chosen]);
        m_open.erase(m_open.begin() + static_cast<std::ptrdiff_t>(chosen));
        return chat;
    }

    PlannedRequest nextRequest(double now)
    {
        Chat chat = takeChat(now);
        const Tokens mean =
            chat.turns == 0 ? m_organisation.firstPromptTokens : m_organisation.turnTokens;
        chat.add("user", text(around(mean)));
        PlannedRequest request;
        request.at = now;
        request.organisation = m_index;
        request.chat = chat.id;
        request.promptKey = chat.parts.back().key;
        request.promptTokens = standin::countTokens(chat.parts);
        request.isStraggler = uniform() < m_workload.stragglers.share;
        request.answerTokens = around(m_organisation.answerTokens)
            * (request.isStraggler ? m_workload.stragglers.factor : 1);
        request.isStreamed = uniform() >= m_workload.wholeShare;
        request.body = bodyOf(chat, request);
        ++chat.turns;
        chat.freeAt = now + m_organisation.pauseSeconds;
        chat.add("assistant", standin::answerText(request.promptKey, request.answerTokens));
        if (chat.turns < m_organisation.maxTurns && !request.isStraggler)
            m_open.push_back(std::move(chat));
        return request;
    }

    std::string bodyOf(const Chat &chat, const PlannedRequest &request) const
    {
        const nlohmann::json body = {{"model", m_organisation.model},
                                     {"stream", request.isStreamed},
                                     {"max_tokens", kMaxAnswerTokens},
                                     {"standin_tokens", request.answerTokens},
                                     {"messages", chat.messages}};
        return body.dump();
    }

    const Workload &m_workload;
    const std::size_t m_index;
    const Organisation &m_organisation;
    std::mt19937_64 m_random;
    const std::string m_run; ///< Keeps runs of one fleet apart.
    std::deque<Chat> m_open; ///< Chats that may return.
    std::uint64_t m_chats = 0;
};

void planService(const Workload &workload, std::size_t service, std::uint64_t seed,
                 std::vector<PlannedRequest> &out)
{
    std::mt19937_64 random(seed);
    std::exponential_distribution<double> gap(workload.serviceLoads[service].rate);
    std::uniform_int_distribution<std::size_t> owner(0, workload.organisations.size() - 1);
    for (double now = gap(random); now < workload.seconds; now += gap(random)) {
        PlannedRequest request;
        request.kind = PlannedKind::ServiceCall;
        request.at = now;
        request.organisation = owner(random);
        request.service = service;
        request.idempotencyKey = "load-" + std::to_string(random());
        out.push_back(std::move(request));
    }
}

void planCrashing(const Workload &workload, std::vector<PlannedRequest> &out)
{
    const double every = workload.crashing.everySeconds;
    if (every <= 0)
        return;
    for (double now = every; now < workload.seconds; now += every) {
        const std::string content = workload.crashing.marker + " " + std::to_string(now);
        PlannedRequest request;
        request.kind = PlannedKind::Crashing;
        request.at = now;
        request.chat = "crashing-" + std::to_string(now);
        const nlohmann::json body = {{"model", workload.organisations.front().model},
                                     {"stream", false},
                                     {"messages", {{{"role", "user"}, {"content", content}}}}};
        request.body = body.dump();
        request.isStreamed = false;
        out.push_back(std::move(request));
    }
}

/// What one cache without a limit would have had, request by request.
void computePossibleCached(std::vector<PlannedRequest> &requests)
{
    std::unordered_set<std::uint64_t> seen;
    for (PlannedRequest &request : requests) {
        if (request.kind != PlannedKind::Chat)
            continue;
        const nlohmann::json body = nlohmann::json::parse(request.body);
        const std::vector<PromptPart> parts = standin::promptParts(body.at("messages"));
        for (std::size_t i = 0; i < parts.size() && seen.contains(parts[i].key); ++i)
            request.possibleCached += parts[i].tokens;
        for (const PromptPart &part : parts)
            seen.insert(part.key);
        const std::string answer = standin::answerText(request.promptKey, request.answerTokens);
        seen.insert(standin::promptPart(request.promptKey, "assistant", answer).key);
    }
}

} // namespace

std::vector<PlannedRequest> planRequests(const Workload &workload, std::uint64_t seed)
{
    std::seed_seq seeds{seed};
    std::vector<std::uint32_t> parts(workload.organisations.size() + workload.serviceLoads.size());
    seeds.generate(parts.begin(), parts.end());
    std::vector<PlannedRequest> requests;
    for (std::size_t i = 0; i < workload.organisations.size(); ++i)
        ChatPlanner(workload, i, parts[i]).plan(requests);
    for (std::size_t i = 0; i < workload.serviceLoads.size(); ++i)
        planService(workload, i, parts[workload.organisations.size() + i], requests);
    planCrashing(workload, requests);
    std::stable_sort(requests.begin(), requests.end(),
                     [](const auto &left, const auto &right) { return left.at < right.at; });
    computePossibleCached(requests);
    return requests;
}

} // namespace comfrey::load
