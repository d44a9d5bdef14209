// The HTTP interface of the stand-in of a model engine; docs/STANDINS.md lists its calls.
#pragma once

#include <atomic>
#include <string>
#include <thread>
#include <vector>

#include "common/httpserver.h"
#include "standin-engine/chatrequest.h"
#include "standin-engine/enginefaults.h"
#include "standin-engine/loadhistory.h"
#include "standin-engine/orderbook.h"
#include "standin-engine/scheduler.h"

namespace comfrey::standin {

struct EngineOptions
{
    EngineModel model;
    std::vector<std::string> models;
    bool checksFencing = true;
    double cacheEventLoss = 0.1; ///< Probability that a cache event is never reported.
    EngineFaults faults;
    std::uint64_t seed = 1;
};

class EngineServer
{
public:
    explicit EngineServer(const EngineOptions &options);
    ~EngineServer();
    EngineServer(const EngineServer &) = delete;
    EngineServer &operator=(const EngineServer &) = delete;

    /// The port in use.
    Result<int> start(const std::string &address);

private:
    void addChatRoutes();
    void addLoadRoutes();
    void addOrderRoutes();
    void addKvRoutes();
    void addOperatorRoutes();
    void complete(const httplib::Request &request, httplib::Response &response);
    /// True, with the answer made, if a new request is not taken now.
    bool refuses(const ChatRequest &chat, httplib::Response &response);
    void giveOrder(const httplib::Request &request, httplib::Response &response);
    /// Tokens imported from the engine at `address`; 0 if it has none.
    Tokens importKv(const std::string &chat, const std::string &address);
    void sampleLoad(const std::stop_token &stop);

    const EngineModel m_model;
    EngineFaultSwitch m_faults;
    OrderBook m_orders;
    LoadHistory m_history;
    Scheduler m_scheduler;
    std::atomic<std::uint64_t> m_reportBytes = 0; ///< Bodies of answered load reports.
    std::atomic<std::uint64_t> m_reports = 0;
    HttpServer m_server;
    std::jthread m_sampler; ///< Last, so that it ends before what it uses.
};

} // namespace comfrey::standin
