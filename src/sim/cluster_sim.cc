#include "sim/cluster_sim.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <ctime>
#include <utility>

#include "configuration/specs.h"

namespace valvekeel::sim {
namespace {

using common::Duration;
using common::Instant;

constexpr Duration kTickInterval{50'000};
constexpr Duration kCheckInterval{50'000};
constexpr std::uint64_t kFirstIncarnation = 1'700'000'000'000;
constexpr std::uint16_t kFirstPort = 10'000;
constexpr std::uint64_t kFrameBytes = 4 + 3;  // length and channel around each message
constexpr std::size_t kInstances = 3;
constexpr std::uint64_t kNanosPerSecond = 1'000'000'000;

std::uint64_t ThreadCpuNanos() {
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return static_cast<std::uint64_t>(time.tv_sec) * kNanosPerSecond +
         static_cast<std::uint64_t>(time.tv_nsec);
}

/// Adds the processor time of the thread during its lifetime to a counter.
class CpuMeter {
 public:
  explicit CpuMeter(std::uint64_t& total) : total_(total), start_(ThreadCpuNanos()) {}
  ~CpuMeter() { total_ += ThreadCpuNanos() - start_; }
  CpuMeter(const CpuMeter&) = delete;
  CpuMeter& operator=(const CpuMeter&) = delete;

 private:
  std::uint64_t& total_;
  std::uint64_t start_;
};

std::string DaemonName(std::size_t daemon) { return absl::StrCat("daemon-", daemon); }

std::string DatabaseName(std::size_t database) { return absl::StrCat("database-", database); }

}  // namespace

ClusterSim::ClusterSim(ClusterShape shape)
    : shape_(shape),
      random_(shape.seed),
      nodes_(shape.daemons),
      running_(shape.daemons, false),
      generation_(shape.daemons, 0),
      usage_(shape.daemons),
      versions_(shape.databases, 0) {
  for (std::size_t zone = 0; zone < shape_.zones; ++zone) {
    zones_.push_back(absl::StrCat("zone-", zone));
  }
  for (std::size_t daemon = 0; daemon < shape_.daemons; ++daemon) {
    zone_index_.push_back(daemon % shape_.zones);
    zone_of_.push_back(zones_[zone_index_.back()]);
    index_of_[DaemonName(daemon)] = daemon;
  }
}

replicated::Entry ClusterSim::DatabaseEntry(std::size_t database, std::uint64_t version) {
  configuration::DatabaseSpec spec;
  spec.name = DatabaseName(database);
  for (std::size_t i = 0; i < kInstances; ++i) {
    configuration::InstanceSpec instance;
    instance.id = absl::StrCat(i);
    instance.zone = absl::StrCat("zone-", (database + i) % (kInstances + 1));
    instance.address = {absl::StrCat("10.", database / 250, ".", database % 250, ".", i + 1), 5432};
    spec.instances.push_back(std::move(instance));
  }
  replicated::Entry entry;
  entry.id = {replicated::EntryKind::kDatabase, spec.name};
  entry.version = {version, 0};
  entry.value = configuration::ToJson(spec);
  return entry;
}

cluster::Member ClusterSim::MemberOf(std::size_t daemon, std::uint64_t incarnation) const {
  cluster::Member member;
  member.id = DaemonName(daemon);
  member.zone = zone_of_[daemon];
  member.peer = {absl::StrCat("10.200.", daemon / 250, ".", daemon % 250),
                 static_cast<std::uint16_t>(kFirstPort + daemon)};
  member.incarnation = incarnation;
  return member;
}

void ClusterSim::StartAll() {
  // All daemons start with the same table, like a cluster that has been running for long.
  cluster::Actions ignored;
  for (std::size_t daemon = 0; daemon < nodes_.size(); ++daemon) {
    nodes_[daemon] =
        std::make_unique<cluster::Node>(MemberOf(daemon, kFirstIncarnation),
                                        std::vector<cluster::Endpoint>{}, cluster::NodeSettings{});
    running_[daemon] = true;
    nodes_[daemon]->Start(queue_.Now());
  }
  next_version_ = shape_.databases + 1;
  for (std::size_t daemon = 0; daemon < nodes_.size(); ++daemon) {
    cluster::Update everything;
    for (std::size_t other = 0; other < nodes_.size(); ++other) {
      everything.entries.push_back(cluster::ToEntry(MemberOf(other, kFirstIncarnation)));
    }
    for (std::size_t database = 0; database < shape_.databases; ++database) {
      versions_[database] = database + 1;
      everything.entries.push_back(DatabaseEntry(database, database + 1));
    }
    nodes_[daemon]->Receive("", everything, queue_.Now());
    ScheduleTick(daemon, generation_[daemon]);
  }
  ResetUsage();
}

void ClusterSim::ScheduleTick(std::size_t daemon, std::uint64_t generation) {
  // Ticks of different daemons are not synchronized.
  const Duration offset{
      std::uniform_int_distribution<std::int64_t>(0, kTickInterval.count() - 1)(random_)};
  queue_.After(offset, [this, daemon, generation] { TickNode(daemon, generation); });
}

void ClusterSim::TickNode(std::size_t daemon, std::uint64_t generation) {
  if (!running_[daemon] || generation_[daemon] != generation) {
    return;
  }
  cluster::Actions actions;
  {
    const CpuMeter meter(usage_[daemon].cpu_ns);
    actions = nodes_[daemon]->Tick(queue_.Now());
  }
  PerformActions(daemon, actions);
  queue_.After(kTickInterval, [this, daemon, generation] { TickNode(daemon, generation); });
}

bool ClusterSim::SameRegion(std::size_t from, std::size_t to) const {
  const std::size_t half = std::max<std::size_t>(1, shape_.zones / 2);
  return zone_index_[from] / half == zone_index_[to] / half;
}

Duration ClusterSim::Latency(std::size_t from, std::size_t to) const {
  if (zone_index_[from] == zone_index_[to]) {
    return shape_.zone_latency;
  }
  return SameRegion(from, to) ? shape_.region_latency : shape_.cross_region_latency;
}

bool ClusterSim::Reachable(std::size_t from, std::size_t to) const {
  return running_[to] && (!regions_cut_ || SameRegion(from, to));
}

void ClusterSim::PerformActions(std::size_t daemon, const cluster::Actions& actions) {
  for (const cluster::Action& action : actions) {
    const auto* send = std::get_if<cluster::SendAction>(&action);
    if (send == nullptr) {
      continue;
    }
    std::size_t to = nodes_.size();
    if (const auto found = index_of_.find(send->to); found != index_of_.end()) {
      to = found->second;
    } else if (send->address.port >= kFirstPort) {
      to = send->address.port - kFirstPort;  // a seed, of which only the address is known
    }
    if (to >= nodes_.size()) {
      continue;
    }
    std::string bytes;
    {
      const CpuMeter meter(usage_[daemon].cpu_ns);
      bytes = cluster::Encode(send->message);
    }
    ++usage_[daemon].messages_sent;
    usage_[daemon].bytes_sent += bytes.size() + kFrameBytes;
    if (Reachable(daemon, to)) {
      queue_.After(Latency(daemon, to),
                   [this, daemon, to, bytes = std::move(bytes)] { Deliver(daemon, to, bytes); });
    }
  }
}

void ClusterSim::Deliver(std::size_t from, std::size_t to, const std::string& bytes) {
  if (!Reachable(from, to)) {
    return;
  }
  ++usage_[to].messages_received;
  usage_[to].bytes_received += bytes.size() + kFrameBytes;
  cluster::Actions actions;
  {
    const CpuMeter meter(usage_[to].cpu_ns);
    const auto message = cluster::Decode(bytes);
    if (common::IsOk(message)) {
      actions = nodes_[to]->Receive(DaemonName(from), common::ValueOf(message), queue_.Now());
    }
  }
  PerformActions(to, actions);
}

void ClusterSim::Run(Duration duration) { queue_.RunUntil(queue_.Now() + duration); }

void ClusterSim::Kill(std::size_t daemon) {
  running_[daemon] = false;
  ++generation_[daemon];
}

void ClusterSim::StopPlanned(std::size_t daemon) {
  PerformActions(daemon, nodes_[daemon]->Leave(queue_.Now()));
  PerformActions(daemon, nodes_[daemon]->Finish(queue_.Now()));
  Kill(daemon);
}

void ClusterSim::Restart(std::size_t daemon) {
  std::vector<cluster::Endpoint> seeds;
  for (std::size_t i = 1; i < nodes_.size() && seeds.size() < 3; ++i) {
    const std::size_t other = (daemon + i * shape_.zones) % nodes_.size();
    if (running_[other]) {
      seeds.push_back(MemberOf(other, 0).peer);
    }
  }
  const std::uint64_t incarnation =
      kFirstIncarnation + static_cast<std::uint64_t>(queue_.Now().count() / 1000) + 1;
  nodes_[daemon] = std::make_unique<cluster::Node>(MemberOf(daemon, incarnation), seeds,
                                                   cluster::NodeSettings{});
  running_[daemon] = true;
  PerformActions(daemon, nodes_[daemon]->Start(queue_.Now()));
  ScheduleTick(daemon, generation_[daemon]);
}

std::size_t ClusterSim::Relays() const {
  std::size_t relays = 0;
  for (std::size_t daemon = 0; daemon < nodes_.size(); ++daemon) {
    relays += running_[daemon] && nodes_[daemon]->IsRelay() ? 1 : 0;
  }
  return relays;
}

std::uint64_t ClusterSim::ChangeDatabase(std::size_t database, bool first_region_only) {
  const std::uint64_t version = ++next_version_;
  versions_[database] = version;
  const replicated::Entry entry = DatabaseEntry(database, version);
  for (std::size_t daemon = 0; daemon < nodes_.size(); ++daemon) {
    const bool sees_platform = !first_region_only || SameRegion(daemon, 0);
    if (!running_[daemon] || !nodes_[daemon]->IsRelay() || !sees_platform) {
      continue;
    }
    cluster::Actions actions;
    {
      const CpuMeter meter(usage_[daemon].cpu_ns);
      actions = nodes_[daemon]->Publish(entry, queue_.Now());
    }
    PerformActions(daemon, actions);
  }
  return version;
}

bool ClusterSim::InForceEverywhere(std::size_t database, std::uint64_t version) const {
  const replicated::EntryId id{replicated::EntryKind::kDatabase, DatabaseName(database)};
  for (std::size_t daemon = 0; daemon < nodes_.size(); ++daemon) {
    if (!running_[daemon]) {
      continue;
    }
    const replicated::Entry* entry = nodes_[daemon]->Table().Find(id);
    if (entry == nullptr || entry->version.major < version) {
      return false;
    }
  }
  return true;
}

bool ClusterSim::ViewsAgree() const {
  const auto expected =
      static_cast<std::size_t>(std::count(running_.begin(), running_.end(), true));
  for (std::size_t daemon = 0; daemon < nodes_.size(); ++daemon) {
    if (!running_[daemon]) {
      continue;
    }
    const std::vector<cluster::Member> serving = nodes_[daemon]->ServingAnywhere();
    const bool none_gone =
        std::all_of(serving.begin(), serving.end(), [&](const cluster::Member& member) {
          return static_cast<bool>(running_[index_of_.at(member.id)]);
        });
    if (!none_gone || serving.size() != expected) {
      return false;
    }
  }
  return true;
}

std::optional<Duration> ClusterSim::RunUntil(const std::function<bool()>& condition,
                                             Duration limit) {
  const Instant start = queue_.Now();
  while (queue_.Now() - start < limit) {
    if (condition()) {
      return queue_.Now() - start;
    }
    Run(kCheckInterval);
  }
  return std::nullopt;
}

void ClusterSim::ResetUsage() { usage_.assign(nodes_.size(), {}); }

}  // namespace valvekeel::sim
