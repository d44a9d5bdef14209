// One ChatPart with hand-set views of the fleet and the lists, driven event by event.
#pragma once

#include <string>
#include <vector>

#include "chat/chatpart.h"

namespace comfrey::test {

class FixedFleet : public FleetView
{
public:
    FixedFleet(const std::string &self, int routers, int engines, std::uint32_t slots);

    const RouterId &self() const override { return m_self; }
    const ZoneId &zone() const override { return m_zone; }
    const std::vector<RouterView> &routers() const override { return m_routers; }
    const std::vector<BackendView> &backends() const override { return m_backends; }
    const BackendView *backend(const BackendId &id) const override;
    std::uint64_t version() const override { return m_version; }

    void setRouterState(int index, RouterState state);
    void setEngineState(int index, BackendState state);
    void removeRouter(const RouterId &id);

private:
    RouterId m_self;
    ZoneId m_zone{"zone1"};
    std::vector<RouterView> m_routers;
    std::vector<BackendView> m_backends;
    std::uint64_t m_version = 1;
};

/// Customers "customer0" and on, with the keys "key0" and on and one plan each of model "m1".
class FixedLists : public ListsView
{
public:
    explicit FixedLists(int customers);
    const Lists &lists() const override { return m_lists; }
    const PlanEntry *customerOf(const ApiKeyHash &key) const override;
    bool isLoaded() const override { return true; }
    Lists &change() { return m_lists; }

private:
    Lists m_lists;
};

class ChatBench
{
public:
    explicit ChatBench(int engines, int routers = 1, std::uint32_t slots = 8);

    void handle(const Event &event);
    void arrive(const std::string &request, const std::string &chat,
                const std::string &key = "key0", Tokens maxTokens = 100,
                PrefixHash sharedPrefix = PrefixHash());
    void progress(const SendToBackend &sent, Tokens tokens);
    void end(const SendToBackend &sent, AttemptEnd how, Tokens tokens);
    void advance(Duration step);

    std::vector<AnswerCaller> answers(const std::string &request) const;
    std::vector<SendToBackend> sent(const std::string &request) const;
    SendToBackend lastSent(const std::string &request) const;
    bool cancelled(AttemptId attempt) const;

    Settings settings;
    FixedFleet fleet;
    FixedLists lists;
    IdSource ids;
    Random random{1};
    ChatPart part;
    TimePoint now{milliseconds(1000)};
    std::vector<Action> actions; ///< Every action so far.
};

} // namespace comfrey::test
