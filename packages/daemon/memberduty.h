/**
 * This process as a member of its failure domain: peers, membership, ownership of shards, the operators' settings.
 *
 * Index of this file
 *   ShardTable   the shards that this process can own, as Ownership drives them
 *   MemberDuty   the threads
 *
 * Threads, one for each duty: heartbeats, registration, ownership, the watch on the settings, their relay; and those of the
 * peer server.
 */
#pragma once

#include <daemon/daemonsettings.h>
#include <daemon/hostedshard.h>
#include <membership/ownership.h>
#include <settings/propagation.h>

#include <nlohmann/json.hpp>

#include <functional>
#include <thread>

namespace QuetzalRock {

class ShardTable final : public ShardHost
{
public:
    explicit ShardTable(std::vector<HostedShard *> shards);

    std::uint64_t acquire(const std::string &shard) override;
    void release(const std::string &shard) override;
    void drop(const std::string &shard) override;

    std::vector<std::string> names() const;
    void reportFenced(Ownership &ownership) const; ///< tells @p ownership of every tenure that was ended from outside

private:
    HostedShard &find(const std::string &shard) const;

    std::vector<HostedShard *> m_shards;
};

class MemberDuty
{
public:
    MemberDuty(const DaemonSettings &settings, KeyValueService &service, VmList &vms, ShardTable &shards, Clock &clock);
    ~MemberDuty();

    PeerRouter &router(); ///< add handlers before start()
    PeerTransport &transport();

    void start();
    void beginShutdown(); ///< releases every shard and tells the others; goes on answering peers
    void stop();

    bool isReady() const;                                     ///< the failure domain's highest settings are known here
    std::size_t liveMembers() const;                          ///< this one included
    std::string ownerAddress(const std::string &shard) const; ///< empty: not known, or this process
    std::shared_ptr<const SettingsVersion> settings() const;
    SettingsPropagation &propagation();
    nlohmann::json membersJson() const;
    nlohmann::json debugJson() const;

private:
    void run(const std::function<void()> &step); ///< until stop(), with a pause between steps
    bool isStopping() const;

    const DaemonSettings &m_settings;
    Clock &m_clock;
    ShardTable &m_shards;
    PeerAuth m_auth;
    PeerRouter m_router;
    PeerClient m_client;
    Membership m_membership;
    MemberRegistry m_registry;
    Ownership m_ownership;
    SettingsPropagation m_propagation;
    std::unique_ptr<PeerServer> m_server; ///< from start() to stop()

    mutable std::mutex m_mutex; ///< guards m_isStopping
    std::condition_variable m_wake;
    bool m_isStopping = false;
    std::atomic<bool> m_isShuttingDown = false;
    std::vector<std::thread> m_threads;
};

} // namespace QuetzalRock
