/**
 * This process as a member of its failure domain: calls between members, membership, shard ownership, operators' settings.
 *
 * Index of this file
 *   ShardTable      the shards that this process can own; Ownership acquires and releases them through it
 *   MemberService   runs the member's threads
 *
 * Threads: heartbeats, registration, shard ownership, settings watch and settings relay (one each), and the threads of the
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
    void reportFenced(Ownership &ownership) const; ///< reports every fenced shard to @p ownership

private:
    HostedShard &find(const std::string &shard) const;

    std::vector<HostedShard *> m_shards;
};

class MemberService
{
public:
    MemberService(
        const DaemonSettings &settings, KeyValueService &service, VmList &vms, ShardTable &shards, Clock &clock);
    ~MemberService();

    PeerRouter &router(); ///< add handlers before listen()
    PeerTransport &transport();

    void listen();        ///< opens the address for peers and serves them; throws if that fails
    void start();         ///< after listen(): becomes a member
    void beginShutdown(); ///< releases every shard and announces it; peers are still served
    void stop();

    bool isReady() const;            ///< the newest settings of the failure domain are known here
    std::size_t liveMembers() const; ///< including this one
    std::string ownerAddress(const std::string &shard) const; ///< empty: unknown, or owned by this process
    std::shared_ptr<const SettingsVersion> settings() const;
    SettingsPropagation &propagation();
    nlohmann::json membersJson() const;
    nlohmann::json debugJson() const;

private:
    void run(const std::function<void()> &step); ///< calls @p step until stop(), with StepInterval between calls
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
    std::unique_ptr<PeerServer> m_server; ///< exists from listen() to stop()

    mutable std::mutex m_mutex; ///< guards m_isStopping
    std::condition_variable m_wake;
    bool m_isStopping = false;
    std::atomic<bool> m_isShuttingDown = false;
    std::vector<std::thread> m_threads;
};

} // namespace QuetzalRock
