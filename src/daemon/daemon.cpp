// One router process.
#include "daemon/daemon.h"

#include <algorithm>
#include <chrono>
#include <condition_variable>
#include <mutex>
#include <random>
#include <thread>

#include "daemon/actiondispatcher.h"
#include "daemon/callerserver.h"
#include "daemon/operatorserver.h"

namespace comfrey {

namespace {

constexpr std::chrono::milliseconds kStopPoll{10};
// Time for the balancer to see the readiness; new requests are refused meanwhile.
constexpr std::chrono::milliseconds kReadinessLag{500};
/// Part of the memory that may be held for callers and back ends. The rest is for the program, its
/// tables, and memory that the allocator keeps.
constexpr std::size_t kHeldDivisor = 2;
constexpr std::size_t kSpareConnections = 512;  // idle ones, and those that only get a refusal
constexpr std::size_t kMinIdleConnections = 64; ///< Callers between two requests.

CallerServerOptions callerOptions(const Settings &settings, Incarnation incarnation)
{
    CallerServerOptions options;
    options.router = RouterId(settings.router.id);
    options.incarnation = incarnation;
    options.maxRequests = settings.router.trafficThreads;
    options.maxBodyBytes = settings.router.maxBodyBytes;
    return options;
}

AccountLimits accountLimits(const Settings &settings)
{
    AccountLimits limits;
    limits.bytes = (std::size_t{settings.router.memoryMb} << 20) / kHeldDivisor;
    // Each chat has its caller's socket and its engine's. With the default number of chats the
    // process stays below the usual limit of 1,024 descriptors.
    const std::size_t chats = settings.router.trafficThreads;
    limits.sockets = std::max(chats + kSpareConnections, 2 * chats + kMinIdleConnections);
    return limits;
}

std::uint64_t randomSeed()
{
    std::random_device device;
    return (std::uint64_t{device()} << 32) | device();
}

/// An event sink that can be made before the control thread that it leads to.
class ForwardingSink : public EventSink
{
public:
    void connect(EventSink &target) { m_target = &target; }
    void post(Event event) override { m_target->post(std::move(event)); }

private:
    EventSink *m_target = nullptr; ///< Set before any component can post.
};

/// Asks the control thread for the callers' port and brings the replies back to the traffic loop.
class ControlDirectory : public CallerDirectory
{
public:
    ControlDirectory(ControlThread &control, TrafficLoop &loop) : m_control(control), m_loop(loop)
    { }

    void readiness(std::function<void(bool)> reply) override
    {
        m_control.ask([this, reply = std::move(reply)](const Router &router, TimePoint) {
            m_loop.post([reply, ready = router.isReady()] { reply(ready); });
        });
    }

    void modelsFor(const ApiKeyHash &key,
                   std::function<void(const std::vector<ModelId> &)> reply) override
    {
        m_control.ask([this, key, reply = std::move(reply)](const Router &router, TimePoint) {
            m_loop.post([reply, models = router.modelsFor(key)] { reply(models); });
        });
    }

private:
    ControlThread &m_control;
    TrafficLoop &m_loop;
};

/// Waits for the word that the router has nothing in flight.
class StoppedSignal
{
public:
    void raise()
    {
        const std::lock_guard lock(m_mutex);
        m_raised = true;
        m_changed.notify_all();
    }

    bool waitUntil(std::chrono::steady_clock::time_point limit)
    {
        std::unique_lock lock(m_mutex);
        return m_changed.wait_until(lock, limit, [this] { return m_raised; });
    }

private:
    std::mutex m_mutex;
    std::condition_variable m_changed;
    bool m_raised = false;
};

} // namespace

class Daemon::Impl
{
public:
    explicit Impl(const Settings &settings)
        : m_settings(settings),
          m_incarnation(static_cast<std::uint64_t>(m_clock.now().time_since_epoch().count())),
          m_dispatcher(m_loop, m_exchanges, [this] { m_stopped.raise(); }),
          m_account(std::make_shared<CallerAccount>(accountLimits(settings))),
          m_backends(m_loop, m_exchanges, m_sink, m_clock, m_account),
          m_platform(Endpoint(settings.platform.address),
                     std::chrono::milliseconds(settings.platform.requestTimeoutMs), m_sink),
          m_peers(m_sink)
    {
        m_dispatcher.connect(m_backends, m_platform, m_peers);
    }

    ~Impl()
    {
        m_loop.stop();
        if (m_operators != nullptr)
            m_operators->stop();
        if (m_control != nullptr)
            m_control->stop();
    }

    Result<void> start()
    {
        m_control = std::make_unique<ControlThread>(
            std::make_unique<Router>(m_settings, m_incarnation, randomSeed()), m_clock,
            m_dispatcher);
        m_sink.connect(*m_control);
        m_directory = std::make_unique<ControlDirectory>(*m_control, m_loop);
        m_callers =
            std::make_unique<CallerServer>(callerOptions(m_settings, m_incarnation), m_loop,
                                           m_exchanges, m_sink, *m_directory, m_clock, m_account);
        m_operators = std::make_unique<OperatorServer>(*m_control, *m_callers);
        if (auto peers = m_peers.start(Endpoint(m_settings.router.peerAddress)); !peers)
            return peers;
        if (const auto port = m_callers->listen(Endpoint(m_settings.router.callerAddress)); !port)
            return tl::make_unexpected(port.error());
        if (const auto port = m_operators->listen(Endpoint(m_settings.router.operatorAddress));
            !port) {
            return tl::make_unexpected(port.error());
        }
        m_operators->start();
        m_loop.start();
        return {};
    }

    bool stop()
    {
        const auto limit = std::chrono::steady_clock::now()
            + std::chrono::milliseconds(m_settings.router.stopLimitMs);
        m_control->post(StopRequested{});
        std::this_thread::sleep_for(kReadinessLag);
        const bool idle = m_stopped.waitUntil(limit);
        while (m_exchanges.size() > 0 && std::chrono::steady_clock::now() < limit)
            std::this_thread::sleep_for(kStopPoll);
        const bool whole = idle && m_exchanges.size() == 0;
        // An exchange ends before the last bytes of its answer are written.
        return whole && m_callers->stop(limit);
    }

private:
    const Settings m_settings;
    ProcessClock m_clock;
    const Incarnation m_incarnation;
    TrafficLoop m_loop; ///< Outlives all sockets on it.
    ExchangeTable m_exchanges;
    StoppedSignal m_stopped;
    std::unique_ptr<ControlThread> m_control; ///< Outlives all that posts to it.
    ForwardingSink m_sink;
    ActionDispatcher m_dispatcher;
    std::shared_ptr<CallerAccount> m_account; ///< Of the traffic loop.
    BackendClient m_backends;
    PlatformClient m_platform;
    PeerLink m_peers;
    std::unique_ptr<ControlDirectory> m_directory;
    std::unique_ptr<CallerServer> m_callers;
    std::unique_ptr<OperatorServer> m_operators;
};

Daemon::Daemon(const Settings &settings) : m_impl(std::make_unique<Impl>(settings)) { }

Daemon::~Daemon() = default;

Result<void> Daemon::start()
{
    return m_impl->start();
}

bool Daemon::stop()
{
    return m_impl->stop();
}

} // namespace comfrey
