// Carries out the facade's actions by handing each to the component that does its I/O.
#pragma once

#include <functional>

#include "daemon/backendclient.h"
#include "daemon/controlthread.h"
#include "daemon/exchangetable.h"
#include "daemon/peerlink.h"
#include "daemon/platformclient.h"

namespace comfrey {

class ActionDispatcher : public ActionRunner
{
public:
    /// `onStopped` is called once, when the router has nothing in flight any more.
    ActionDispatcher(TrafficLoop &loop, ExchangeTable &exchanges, std::function<void()> onStopped);

    /// Must be called before the first action.
    void connect(BackendClient &backends, PlatformClient &platform, PeerLink &peers);

    void run(Action action) override;

private:
    void answer(const AnswerCaller &action);
    static void writeLogLine(const WriteLogLine &line);

    TrafficLoop &m_loop;
    ExchangeTable &m_exchanges;
    std::function<void()> m_onStopped;
    BackendClient *m_backends = nullptr;  ///< Set before the control thread starts.
    PlatformClient *m_platform = nullptr; ///< Likewise.
    PeerLink *m_peers = nullptr;          ///< Likewise.
};

} // namespace comfrey
