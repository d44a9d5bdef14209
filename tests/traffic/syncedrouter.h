// A router's synchronisation with other routers over a loopback port, without callers and without a
// store.
#pragma once

#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <set>
#include <string>
#include <vector>

#include "gateway/flatbuffercodec.h"
#include "gateway/fleetsync.h"
#include "loopback.h"
#include "traffic/callerlistener.h"

namespace comfrey::loopback {

/// Router that only exchanges updates with others. Reports scripted requests and can ignore polls.
class SyncedRouter : public FleetSyncListener
{
public:
    SyncedRouter(boost::asio::io_context &loop, const std::string &name, std::uint8_t capacityTier,
                 const std::string &seed, bool isFirstStart, const std::string &zone = "z")
        : log(-1), caller(loop, {milliseconds(500), milliseconds(1500), 16384}, now),
          port(loop, *this, seed, name, zone, capacityTier, isFirstStart)
    { }

    void onFeedChanged() override { ++feedChangeCount; }
    ServerRequests localRequests() const override { return reportedRequests; }
    ServerRequests localPrompts() const override { return reportedPromptRequests; }
    void onRemoteRequestsChanged() override { }
    bool isStoreUnconfirmed() const override { return storeIsUnconfirmed; }
    void onStoreUnconfirmedReported() override { ++unconfirmedNotices; }

    /// The listening port and the synchronisation behind it: FleetSync needs the port's address,
    /// and the port passes requests to FleetSync.
    struct Port
    {
        Port(boost::asio::io_context &loop, SyncedRouter &router, const std::string &seed,
             const std::string &name, const std::string &zone, std::uint8_t capacityTier,
             bool isFirstStart)
            : listener(loop, handler, now, 100)
        {
            CPPUNIT_ASSERT(listener.listen("127.0.0.1:0"));
            address = "127.0.0.1:" + std::to_string(listener.port());
            sync = std::make_unique<FleetSync>(
                router.caller, router.feed, router.log, now,
                FleetSyncSettings{{name, ZoneId(zone), address, capacityTier},
                                  {seed.empty() ? address : seed},
                                  1,
                                  isFirstStart},
                router);
            handler.sync = sync.get();
        }

        struct Handler : public RequestHandler
        {
            void onRequest(const std::shared_ptr<CallerConnection> &connection, HttpHead head,
                           std::string body) override
            {
                if (now() < acceptsFrom)
                    connection->abort();
                else if (isIgnored(body))
                    ignoredConnections.push_back(
                        connection); // Keeps the poll open without an answer.
                else
                    sync->onRequest(connection, std::move(head), std::move(body));
            }
            const CallerLimits &limits() const override { return sync->limits(); }
            bool isStopping() const override { return false; }
            /// True if the body is a long poll that stays unanswered. Counts the records of all
            /// polls to which ignoresLongPolls or ignoredZones apply.
            bool isIgnored(const std::string &body)
            {
                if (!ignoresLongPolls && ignoredZones.empty())
                    return false;
                const auto poll = decodeFlatBuffer<wire::NewsAsk>(body);
                if (!poll || (!ignoresLongPolls && ignoredZones.count(poll->zone) == 0))
                    return false;
                ignoredRecords += poll->records.size();
                return poll->holdMs > 0;
            }

            FleetSync *sync = nullptr;
            bool ignoresLongPolls = false; ///< Of followers in any zone.
            std::set<std::string>
                ignoredZones;               ///< Long polls of followers in these zones are ignored.
            std::size_t ignoredRecords = 0; ///< Records that such polls carried.
            std::vector<std::shared_ptr<CallerConnection>> ignoredConnections;
            TimePoint acceptsFrom = TimePoint::min(); ///< Connections are aborted before it.
        };

        Handler handler;
        CallerListener listener;
        std::string address;
        std::unique_ptr<FleetSync> sync;
    };

    FleetSync &sync() { return *port.sync; }

    EventLog log;
    RecordFeed feed;
    ServerRequests reportedRequests;
    ServerRequests reportedPromptRequests;
    int feedChangeCount = 0;         ///< Calls of onFeedChanged().
    bool storeIsUnconfirmed = false; ///< Records may be missing from the store.
    int unconfirmedNotices = 0;      ///< Reports of other routers that the store is unconfirmed.
    HttpCaller caller;
    Port port;
};

} // namespace comfrey::loopback
