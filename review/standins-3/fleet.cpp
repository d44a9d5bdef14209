// Processes are started, signalled and ended by their ids; files lie in a temporary folder.
#include "fleet.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <cstdlib>
#include <filesystem>
#include <sstream>

namespace comfrey::review {

namespace {

constexpr Duration kHeartbeat = milliseconds(1200); // heartbeat_ms of the site
constexpr unsigned kLongestSeconds = 118;
constexpr Duration kStoreTick = milliseconds(5);
constexpr Duration kAnswerLimit = milliseconds(5000);        // above each time limit of the cases
const char *const kProgram = "target/platform/comfrey-node"; // deploy/system.toml
const char *const kHost = "ficu95.example";

std::string quoted(const std::string &text)
{
    return '"' + text + '"';
}

std::uint64_t unixMs()
{
    const auto wallTime = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(wallTime).count());
}

} // namespace

std::int64_t elapsedMs()
{
    static const TimePoint start = loopback::now();
    return (loopback::now() - start).count() / 1000;
}

void Record::line(const std::string &text)
{
    m_file << elapsedMs() << " ms  " << text << std::endl;
}

Router::Router(boost::asio::io_context &loop, RouterSettings routerSettings, std::string ip,
               std::vector<std::string> seeds, const std::string &store, std::string folder)
    : settings(std::move(routerSettings)), m_ip(std::move(ip)), m_seeds(std::move(seeds)),
      m_storePath(loop, store), m_folder(std::move(folder))
{ }

void Router::cutFromStore(bool isCut)
{
    m_storePath.setFault(isCut ? soak::PathFault::Silent : soak::PathFault::None);
}

Router::~Router()
{
    if (m_pid <= 0)
        return;
    ::kill(m_pid, SIGCONT);
    ::kill(m_pid, SIGKILL);
    ::waitpid(m_pid, nullptr, 0);
}

boost::asio::ip::tcp::endpoint Router::endpoint(std::uint16_t port) const
{
    return {boost::asio::ip::make_address(m_ip), port};
}

void Router::start()
{
    const std::string path = m_folder + '/' + settings.name + ".toml";
    {
        std::ofstream file(path);
        file << "node = " << quoted(settings.name) << "\nrole = \"router\"\n"
             << "machine_class = \"front\"\nserves = [\"front\", \"control\"]\nip = "
             << quoted(m_ip) << "\nzone = " << quoted(settings.zone)
             << "\nregion = \"eesti\"\ninternal_ports = [7340, 7355]\nseeds = [";
        for (const std::string &seed : m_seeds)
            file << quoted(seed) << ", ";
        file << "]\nbootstrap = " << (settings.isFirstStart ? "true" : "false")
             << "\nloss_counts = false\ndiscovery = \"platform\"\nentry = \"vip\"\n"
             << "heartbeat_ms = 1200\ncontracts = [\"base\", \"drain\", \"config\", \"cost\", "
             << "\"retry\", \"recover\", \"engine\", \"stream\", \"tenants\", \"platform\"]\n"
             << "[zones]\ntartu-a = \"eesti\"\ntartu-b = \"eesti\"\ntallinn-a = \"eesti\"\n"
             << "tallinn-b = \"eesti\"\n[listen]\nfront = " << quoted(m_ip + ":8227")
             << "\nready = " << quoted(m_ip + ":8220") << "\ncontrol = " << quoted(m_ip + ":8229")
             << "\n[limits]\ncpu_share = " << settings.processorShare
             << "\ncores = 1\nmemory_mb = 260\nmax_fds = 4200\nlink_mbps = 1000.0\ndisk_mb = 0\n"
             << "[tolerate]\nmachines = 2\nzones = 0\nregions = 0\n[bounds]\nseed_lag_s = 3\n"
             << "reuse_after_s = 2\nstable_window_ms = 3000\nack_ms = 4000\ncatch_up_s = 4\n"
             << "drain_ms = 2000\ngrace_s = 8\nloss_slack_ms = 200\nconfig_apply_ms = 2000\n"
             << "rollback_slack_ms = 250\nskew_max_ms = 5000\nstrict_revoke = false\n"
             << "revoke_ms = 5000\nretry_budget_ratio = 0.2\nbudget_window_s = 10\n"
             << "retry_budget_slack = 52\nrecovery_s = 12\npass_ms = 120\nretry_after_s = 10\n"
             << "cap_factor = 2\n[platform]\naddress = " << quoted(m_storePath.address())
             << "\nform = \"log\"\nwrites_per_s = 400\nreads_per_s = 2000\nparts = 12\n"
             << "append_ms = 2.0\npartition_mb_s = 20.0\nread_mb_s = 80.0\n"
             << "record_bytes = 262144\ncall_bytes = 2097152\nkeep_s = 300\npart_mb = 200\n"
             << "min_ttl_ms = 1000\n";
    }
    const std::string logPath = m_folder + '/' + settings.name + ".log";
    m_pid = ::fork();
    if (m_pid != 0)
        return;
    ::prctl(PR_SET_PDEATHSIG, SIGKILL); // Also if the case itself is ended.
    // A socket of the case that lives on in a router is not closed when the case closes it.
    ::close_range(3, ~0U, 0);
    const int log = ::open(logPath.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::dup2(log, STDOUT_FILENO);
    ::dup2(log, STDERR_FILENO);
    ::setenv("COMFREYLANDING_SETTINGS", path.c_str(), 1);
    ::execl(kProgram, kProgram, nullptr);
    ::_exit(127);
}

void Router::signal(int number)
{
    if (m_pid > 0)
        ::kill(m_pid, number);
}

bool Router::hasEnded()
{
    int status = 0;
    if (m_pid > 0 && ::waitpid(m_pid, &status, WNOHANG) == m_pid) {
        m_pid = 0;
        m_lastEnd = WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
    }
    return m_pid == 0;
}

std::string Router::log() const
{
    std::ifstream file(m_folder + '/' + settings.name + ".log");
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

Replica::Replica(boost::asio::io_context &loop, soak::StandInStore &store, Record &record,
                 std::string id, std::string service, std::string zone)
    : m_store(store), m_record(record), m_id(std::move(id)), m_service(std::move(service)),
      m_zone(std::move(zone)),
      m_server(loop,
               [this](Connection &connection, const Request &request) {
                   if (request.head.valueOf("X-Expect-Instance") != m_id) {
                       connection.write("HTTP/1.1 421 X\r\nX-Replica-Id: " + m_id
                                        + "\r\nContent-Length: 0\r\n\r\n");
                       return;
                   }
                   m_arrivals.push_back({elapsedMs(),
                                         std::string(request.head.valueOf("X-Request-Id")),
                                         std::string(request.head.valueOf("X-Tenant")),
                                         std::string(request.head.valueOf("Last-Event-Id"))});
                   const Arrival &arrival = m_arrivals.back();
                   m_record.line("request " + arrival.requestId + " reaches replica " + m_id
                                 + " for tenant " + arrival.tenant
                                 + (arrival.lastEventId.empty()
                                        ? std::string()
                                        : ", goes on after event " + arrival.lastEventId));
                   if (onRequest)
                       onRequest(connection, request);
                   else
                       connection.answer(request, "answer to " + arrival.requestId);
               }),
      m_timer(loop), m_bornMs(unixMs())
{ }

void Replica::announce()
{
    beat();
}

void Replica::beat()
{
    if (m_isCrashed)
        return;
    m_store.append("keyed.servers", m_id,
                   R"({"service":")" + m_service + R"(","address":")" + m_server.address()
                       + R"(","zone":")" + m_zone + R"(","version":"v1","slots":128,"state":")"
                       + (m_isDraining ? "draining" : "ready") + R"(","cold_remaining_ms":0,"seq":)"
                       + std::to_string(++m_sequence) + R"(,"born":)" + std::to_string(m_bornMs)
                       + "}");
    m_timer.expires_after(std::chrono::microseconds(kHeartbeat.count()));
    m_timer.async_wait([this](const boost::system::error_code &error) {
        if (!error)
            beat();
    });
}

void Replica::drain()
{
    m_isDraining = true;
    beat();
    m_record.line("the store has acknowledged that replica " + m_id + " is draining");
}

void Replica::crash()
{
    m_isCrashed = true;
    m_timer.cancel();
    m_server.end();
    m_record.line("replica " + m_id + " crashes");
}

std::string requestBytes(const std::string &method, const std::string &path, const std::string &id,
                         const std::string &key, int deadlineMs, const std::string &fields)
{
    return method + ' ' + path + " HTTP/1.1\r\nHost: " + kHost + "\r\nX-Request-Id: " + id
        + "\r\nX-Deadline-Ms: " + std::to_string(deadlineMs) + "\r\nAuthorization: Bearer " + key
        + "\r\n" + fields + "\r\n";
}

Fleet::Fleet(const std::string &recordPath) : record(recordPath), store(loop), m_storeTimer(loop)
{
    // The case ends with its script and within its time, and the routers end with the case.
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    ::alarm(kLongestSeconds);
    elapsedMs();
    std::string pattern =
        (std::filesystem::temp_directory_path() / "comfrey-review-XXXXXX").string();
    m_folder = ::mkdtemp(pattern.data());
    // Cases that run at the same moment have other addresses.
    constexpr int kNetworks = 200;
    const int own = ::getpid();
    const std::string network = "127." + std::to_string(1 + own % kNetworks) + '.'
        + std::to_string(1 + own / kNetworks % kNetworks) + '.';
    const std::vector<std::pair<std::string, std::string>> machines = {
        {"front-tartu-a-1", "tartu-a"},     {"front-tartu-a-2", "tartu-a"},
        {"front-tartu-b-1", "tartu-b"},     {"front-tartu-b-2", "tartu-b"},
        {"front-tallinn-a-1", "tallinn-a"}, {"front-tallinn-b-1", "tallinn-b"}};
    const std::vector<std::string> seeds = {network + "1:8229", network + "3:8229",
                                            network + "5:8229"};
    int host = 0;
    for (const auto &[name, zone] : machines)
        routers.push_back(std::make_unique<Router>(loop, RouterSettings{name, zone},
                                                   network + std::to_string(++host), seeds,
                                                   store.address(), m_folder));
    tickStore();
}

Fleet::~Fleet()
{
    routers.clear();
    std::error_code ignored; // A folder that stays is in the system's temporary one.
    std::filesystem::remove_all(m_folder, ignored);
}

void Fleet::tickStore()
{
    store.tick(loopback::now());
    m_storeTimer.expires_after(std::chrono::microseconds(kStoreTick.count()));
    m_storeTimer.async_wait([this](const boost::system::error_code &error) {
        if (!error)
            tickStore();
    });
}

Replica &Fleet::addReplica(const std::string &id, const std::string &service,
                           const std::string &zone)
{
    replicas.push_back(std::make_unique<Replica>(loop, store, record, id, service, zone));
    replicas.back()->announce();
    record.line("replica " + id + " of " + service + " is listed");
    return *replicas.back();
}

void Fleet::publish(const std::string &json)
{
    store.append("keyed.op", "config", json);
    record.line("the store has acknowledged the configuration " + json.substr(0, 12) + " ..");
}

bool Fleet::isReady(Router &router)
{
    loopback::RawCaller caller(loop, router.ready());
    caller.send("GET /v1/ready HTTP/1.1\r\nHost: ready\r\n\r\n");
    std::optional<loopback::RawCaller::Response> response;
    runUntil([&] { return (response = caller.takeResponse()) || caller.isClosed(); },
             milliseconds(1000));
    return response && response->head.status == 200;
}

bool Fleet::awaitReady(Duration limit)
{
    const TimePoint end = loopback::now() + limit;
    for (const auto &router : routers) {
        while (!isReady(*router)) {
            if (loopback::now() >= end) {
                record.line("router " + router->settings.name + " is not ready");
                return false;
            }
            runFor(milliseconds(50));
        }
    }
    return true;
}

bool Fleet::startRouters()
{
    for (const auto &router : routers)
        router->start();
    record.line("six routers are started");
    return awaitReady(milliseconds(10000));
}

bool Fleet::runUntil(const std::function<bool()> &done, Duration limit)
{
    const TimePoint end = loopback::now() + limit;
    while (!done()) {
        if (loopback::now() >= end)
            return false;
        loop.restart();
        loop.run_one_for(std::chrono::milliseconds(5));
    }
    return true;
}

std::string Fleet::newId()
{
    return "q" + std::to_string(++m_lastId);
}

unsigned Fleet::ask(Router &router, const std::string &path, const std::string &key,
                    const std::string &what)
{
    const std::string id = newId();
    record.line("request " + id + " (" + what + ") is sent to " + router.settings.name);
    loopback::RawCaller caller(loop, router.front());
    caller.send(requestBytes("GET", path, id, key, 4000));
    std::optional<loopback::RawCaller::Response> response;
    runUntil([&] { return (response = caller.takeResponse()) || caller.isClosed(); }, kAnswerLimit);
    const unsigned status = response ? response->head.status : 0;
    record.line("request " + id + " is answered " + std::to_string(status));
    return status;
}

Router *Fleet::storeReader()
{
    Router *reader = nullptr;
    for (const auto &router : routers) {
        const std::string log = router->log();
        const std::size_t begun = log.rfind("event=store-reading-begun");
        const std::size_t ended = log.rfind("event=store-reading-ended");
        if (begun != std::string::npos && (ended == std::string::npos || ended < begun))
            reader = router.get();
    }
    return reader;
}

} // namespace comfrey::review
