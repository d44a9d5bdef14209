// A router's link to other routers with its port on loopback, without callers and without a store.
#pragma once

#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <set>
#include <string>
#include <vector>

#include "gateway/fleetsync.h"
#include "gateway/wiretext.h"
#include "loopback.h"
#include "traffic/callerlistener.h"

namespace comfrey::loopback {

class LinkedRouter : public FleetSyncListener
{
public:
    LinkedRouter(boost::asio::io_context &loop, const std::string &name, std::uint8_t standing,
                 const std::string &seed, bool isFirstStart, const std::string &zone = "z")
        : log(-1), caller(loop, {milliseconds(500), milliseconds(1500), 16384}, now),
          port(loop, *this, seed, name, zone, standing, isFirstStart)
    { }

    void onFeedChanged() override { ++changes; }
    ServerRequests localRequests() const override { return own; }
    ServerRequests localPrompts() const override { return ownByPrompt; }
    void onRemoteRequestsChanged() override { }
    bool isStoreUnconfirmed() const override { return isInDoubt; }
    void onStoreUnconfirmedReported() override { ++heardInDoubt; }

    /// Runs on the link's port: the link needs the port's address, and the port the link.
    struct Port
    {
        Port(boost::asio::io_context &loop, LinkedRouter &router, const std::string &seed,
             const std::string &name, const std::string &zone, std::uint8_t standing,
             bool isFirstStart)
            : listener(loop, handler, now, 100)
        {
            CPPUNIT_ASSERT(listener.listen("127.0.0.1:0"));
            address = "127.0.0.1:" + std::to_string(listener.port());
            link = std::make_unique<FleetSync>(
                router.caller, router.feed, router.log, now,
                FleetSyncSettings{{name, ZoneId(zone), address, standing},
                                  {seed.empty() ? address : seed},
                                  1,
                                  isFirstStart},
                router);
            handler.link = link.get();
        }

        struct Handler : public RequestHandler
        {
            void onRequest(const std::shared_ptr<CallerConnection> &connection, HttpHead head,
                           std::string body) override
            {
                if (now() < servesFrom)
                    connection->abort();
                else if (isDeafTo(body))
                    held.push_back(connection); // Never answered.
                else
                    link->onRequest(connection, std::move(head), std::move(body));
            }
            const CallerLimits &limits() const override { return link->limits(); }
            bool isStopping() const override { return false; }
            bool isDeafTo(const std::string &body)
            {
                if (!isDeafToFollowers && deafToZones.empty())
                    return false;
                const auto ask = unpacked<wire::NewsAsk>(body);
                if (!ask || (!isDeafToFollowers && deafToZones.count(ask->zone) == 0))
                    return false;
                lostRecords += ask->records.size();
                return ask->holdMs > 0;
            }

            FleetSync *link = nullptr;
            bool isDeafToFollowers = false;
            std::set<std::string> deafToZones; ///< To followers of these zones only.
            std::size_t lostRecords = 0;       ///< That asks without an answer carried.
            std::vector<std::shared_ptr<CallerConnection>> held;
            TimePoint servesFrom = TimePoint::min();
        };

        Handler handler;
        CallerListener listener;
        std::string address;
        std::unique_ptr<FleetSync> link;
    };

    FleetSync &link() { return *port.link; }

    EventLog log;
    RecordFeed feed;
    ServerRequests own;
    ServerRequests ownByPrompt;
    int changes = 0;
    bool isInDoubt = false;
    int heardInDoubt = 0;
    HttpCaller caller;
    Port port;
};

} // namespace comfrey::loopback
