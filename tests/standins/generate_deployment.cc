// Writes the configuration, the instance list and the instance settings of a complete deployment on loopback.

#include <sys/socket.h>
#include <unistd.h>

#include <netinet/in.h>

#include <array>
#include <filesystem>
#include <fstream>
#include <stdexcept>
#include <utility>
#include <vector>

#include <fmt/format.h>

#include "core/base/random.h"
#include "tests/standins/data_set.h"
#include "tests/standins/deployment.h"
#include "tests/standins/execution_log.h"
#include "tests/standins/options.h"

namespace limpetrouter::tests::standins {
namespace {

using nlohmann::json;

/// An operation of a collection, in the terms of rules.json. `deadline_ms` is the default deadline.
struct operation_plan {
  const char* id;
  const char* shards;
  bool urgent;
  bool repeatable;
  const char* partial;
  int deadline_ms;
  int max_rows;
};

/// A collection with its backend servers. A replicated collection has several services of one shard each, with a
/// backend server in each data centre. Any other collection has one service, and two of its backend servers hold each
/// shard.
struct collection_plan {
  const char* id;
  const char* short_name;
  bool replicated;
  /// Number of services if replicated, otherwise number of backend servers.
  int count;
  int slots;
  int connections;
  int connect_cost_us;
  std::vector<operation_plan> operations;
};

struct deployment_plan {
  const char* name;
  const char* region;
  std::array<const char*, 3> data_centres;
  std::vector<collection_plan> collections;
};

constexpr operation_plan kLookup = {"lookup", "key", false, true, "useless", 1'000, 10};

deployment_plan BureauPlan() {
  return {"bureau",
          "southern-taiwan",
          {"kaohsiung", "tainan", "pingtung"},
          {{"stock-ledger",
            "stock",
            true,
            10,
            5,
            40,
            6'000,
            {{"sweep", "all", false, true, "useless", 4'000, 2'000},
             {"leak-check", "all", true, true, "useful", 800, 200},
             kLookup}},
           {"berth-scheduling",
            "berth",
            true,
            15,
            5,
            40,
            6'000,
            {{"search", "all", false, true, "useless", 2'000, 500},
             {"book", "key", true, false, "useless", 2'000, 10},
             kLookup}},
           {"custody-archive",
            "custody",
            false,
            25,
            3,
            110,
            1'000,
            {{"audit", "all", false, true, "useless", 8'000, 1'000},
             {"transfer", "key", false, false, "useless", 3'000, 10},
             kLookup}},
           {"inspector-roster",
            "inspector",
            false,
            13,
            3,
            110,
            1'000,
            {{"search", "all", false, true, "useful", 2'000, 300}, kLookup}}}};
}

deployment_plan CooperativePlan() {
  return {"cooperative",
          "kyushu",
          {"fukuoka", "kumamoto", "oita"},
          {{"bench-search",
            "bench",
            true,
            10,
            3,
            30,
            6'000,
            {{"paint-search", "all", false, true, "useful", 1'500, 3'000},
             {"hub-fit", "key", true, true, "useless", 600, 10},
             kLookup}},
           {"volunteer-rosters",
            "volunteer",
            true,
            15,
            3,
            30,
            6'000,
            {{"search", "all", false, true, "useful", 1'500, 700}, kLookup}},
           {"job-board",
            "job",
            false,
            20,
            3,
            40,
            1'000,
            {{"search", "all", false, true, "useful", 1'500, 1'000},
             {"repair", "key", false, false, "useless", 2'000, 10},
             kLookup}},
           {"donor-ledger",
            "donor",
            false,
            9,
            3,
            40,
            1'000,
            {{"statement", "all", false, true, "useless", 3'000, 500}, kLookup}}}};
}

/// Allocates addresses "127.0.0.1:port" from a block of consecutive ports.
struct port_block {
  int next_port = 0;
  std::string NextAddress() { return fmt::format("127.0.0.1:{}", next_port++); }
};

/// Returns true if the port is free on loopback for `socket_type`, SOCK_STREAM or SOCK_DGRAM.
bool CanBind(int port, int socket_type) {
  const int fd = ::socket(AF_INET, socket_type, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  const int enable = 1;
  ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &enable, sizeof(enable));
  const bool bound = ::bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0;
  ::close(fd);
  return bound;
}

/// Returns the first port of a block of `count` free ports below the system's ephemeral port range. Throws
/// std::runtime_error if none is found.
int FindPortBlock(int count) {
  constexpr int kFirst = 12'000;
  constexpr int kLast = 32'000;
  core::base::random_source random{EpochMicroseconds() ^ static_cast<std::uint64_t>(::getpid())};
  for (int attempt = 0; attempt < 200; ++attempt) {
    const int first_port = kFirst + static_cast<int>(core::base::NextBelow(random, kLast - kFirst - count));
    bool free = true;
    for (int port = first_port; port < first_port + count && free; ++port) {
      free = CanBind(port, SOCK_STREAM) && CanBind(port, SOCK_DGRAM);
    }
    if (free) return first_port;
  }
  throw std::runtime_error(
      "found no block of consecutive free ports on 127.0.0.1 between 12000 and 32000 in 200 attempts");
}

/// The configuration documents that are written to the deployment folder.
struct output_documents {
  json inventory = {{"data_centres", json::array()}, {"services", json::array()}, {"backend_servers", json::array()}};
  json rules = {{"collections", json::array()}, {"limits", json::object()}};
  json shard_maps = {{"collections", json::array()}};
};

void AddServer(output_documents& out, port_block& ports, const collection_plan& plan, const std::string& id,
               const std::string& service, const char* data_centre) {
  out.inventory["backend_servers"].push_back({{"id", id},
                                              {"service", service},
                                              {"data_centre", data_centre},
                                              {"address", ports.NextAddress()},
                                              {"slots", plan.slots},
                                              {"connections", plan.connections},
                                              {"connect_cost_us", plan.connect_cost_us},
                                              {"state", "active"}});
}

/// Adds the services and backend servers of a collection and returns its shards. Their number of documents is still 0.
json AddServers(output_documents& out, port_block& ports, const collection_plan& plan,
                const deployment_plan& full_plan) {
  json shards = json::array();
  if (!plan.replicated) out.inventory["services"].push_back({{"id", plan.short_name}, {"collection", plan.id}});
  for (int i = 0; i < plan.count; ++i) {
    json replicas = json::array();
    std::string service = plan.short_name;
    if (plan.replicated) {
      service = fmt::format("{}-{:02}", plan.short_name, i + 1);
      out.inventory["services"].push_back({{"id", service}, {"collection", plan.id}});
      for (std::size_t centre = 0; centre < full_plan.data_centres.size(); ++centre) {
        replicas.push_back(fmt::format("{}-{}", service, static_cast<char>('a' + centre)));
        AddServer(out, ports, plan, replicas.back(), service, full_plan.data_centres[centre]);
      }
    } else {
      const auto server_name = [&plan](int server_index) {
        return fmt::format("{}-{:02}", plan.short_name, server_index + 1);
      };
      AddServer(out, ports, plan, server_name(i), service, full_plan.data_centres[static_cast<std::size_t>(i) % 3]);
      // The second replica is the next server in another data centre. The loop is needed because the number of servers
      // may not be a multiple of three.
      int second_replica = (i + 1) % plan.count;
      while (second_replica % 3 == i % 3)
        second_replica = (second_replica + 1) % plan.count;
      replicas = {server_name(i), server_name(second_replica)};
    }
    shards.push_back({{"id", i}, {"service", service}, {"documents", 0}, {"replicas", replicas}});
  }
  return shards;
}

json MakeOperations(const collection_plan& plan) {
  json operations = json::array();
  for (const operation_plan& operation : plan.operations) {
    operations.push_back({{"id", operation.id},
                          {"shards", operation.shards},
                          {"urgent", operation.urgent},
                          {"repeatable", operation.repeatable},
                          {"partial", operation.partial},
                          {"canary", true},
                          {"deadline_ms", operation.deadline_ms},
                          {"max_deadline_ms", 10'000},
                          {"max_rows", operation.max_rows}});
  }
  return operations;
}

void AddCollection(output_documents& out, port_block& ports, const collection_plan& plan,
                   const deployment_plan& full_plan, std::uint64_t seed) {
  constexpr std::uint64_t kSnapshot = 41;
  json shards = AddServers(out, ports, plan, full_plan);
  const auto shard_documents = PlaceDocuments(plan.id, kSnapshot, seed, DocumentCount(plan.id), shards.size());
  for (std::size_t i = 0; i < shard_documents.size(); ++i)
    shards[i]["documents"] = shard_documents[i].size();
  out.rules["collections"].push_back({{"id", plan.id}, {"operations", MakeOperations(plan)}});
  out.shard_maps["collections"].push_back(
      {{"id", plan.id}, {"snapshots", {{{"id", kSnapshot}, {"servable", true}, {"shards", shards}}}}});
}

int CountServers(const deployment_plan& plan) {
  int servers = 0;
  for (const collection_plan& entry : plan.collections)
    servers += entry.replicated ? entry.count * 3 : entry.count;
  return servers;
}

/// An instance of the deployment. The addresses are "IP:port".
struct instance_entry {
  std::string id;
  std::string data_centre;
  std::string http_address;
  std::string peer_address;
};

/// Writes the settings file of an instance. `platform` is the "IP:port" of the platform.
void WriteSettings(const std::string& path, const instance_entry& instance, const std::string& platform) {
  std::ofstream file(path);
  file << "[instance]\nname = " << instance.id << "\ndata_centre = " << instance.data_centre
       << "\n\n[listen]\nhttp = " << instance.http_address << "\npeer = " << instance.peer_address
       << "\nthreads = 2\n\n[platform]\nconfiguration_url = http://" << platform
       << "/v1/configuration\ninstance_list_url = http://" << platform << "/v1/instances\n";
  if (!file.flush()) throw std::runtime_error("cannot write settings file " + path);
}

int Run(int argc, char** argv) {
  std::string directory = "deployment";
  std::int64_t port_base = 0;
  std::int64_t seed = 1;
  std::int64_t per_data_centre = 3;
  const auto positional =
      ParseOptions(argc, argv,
                   {{.name = "directory", .help = "folder to write to", .text = &directory},
                    {.name = "port-base", .help = "first port; 0 to look for free ports", .number = &port_base},
                    {.name = "instances", .help = "instances per data centre", .number = &per_data_centre},
                    {.name = "seed", .help = "seed of the data", .number = &seed}});
  if (positional.size() != 1 || (positional[0] != "bureau" && positional[0] != "cooperative")) {
    throw std::runtime_error("expected exactly one deployment name: bureau or cooperative");
  }
  const deployment_plan plan = positional[0] == "bureau" ? BureauPlan() : CooperativePlan();
  // This covers the addresses of the platform and of the control endpoints, which are allocated below.
  constexpr int kControlPorts = 8;
  const int port_count = CountServers(plan) + static_cast<int>(per_data_centre) * 6 + kControlPorts;
  port_block ports{port_base != 0 ? static_cast<int>(port_base) : FindPortBlock(port_count)};
  std::filesystem::create_directories(directory + "/settings");

  output_documents out;
  out.inventory["deployment"] = plan.name;
  for (const char* centre : plan.data_centres) {
    out.inventory["data_centres"].push_back({{"id", centre}, {"region", plan.region}});
  }
  for (const collection_plan& entry : plan.collections) {
    AddCollection(out, ports, entry, plan, static_cast<std::uint64_t>(seed));
  }
  // Tests isolate instances from the platform by pointing them at the second address and taking it down.
  const std::string platform = ports.NextAddress();
  json summary = {{"deployment", plan.name},
                  {"seed", seed},
                  {"platform", platform},
                  {"platform_second", ports.NextAddress()},
                  {"platform_control", ports.NextAddress()},
                  {"backend_control", ports.NextAddress()}};
  json instances = json::array();
  for (const char* centre : plan.data_centres) {
    for (std::int64_t i = 1; i <= per_data_centre; ++i) {
      const instance_entry instance{fmt::format("{}-{}", centre, i), centre, ports.NextAddress(), ports.NextAddress()};
      WriteSettings(fmt::format("{}/settings/{}.ini", directory, instance.id), instance, platform);
      instances.push_back({{"id", instance.id},
                           {"data_centre", instance.data_centre},
                           {"peer_address", instance.peer_address},
                           {"http_address", instance.http_address},
                           {"state", "live"}});
    }
  }
  summary["instances"] = instances;
  WriteJsonFile(directory + "/inventory.json", out.inventory);
  WriteJsonFile(directory + "/rules.json", out.rules);
  WriteJsonFile(directory + "/shard_maps.json", out.shard_maps);
  WriteJsonFile(directory + "/instances.json", {{"instances", instances}});
  WriteJsonFile(directory + "/deployment.json", summary);
  fmt::print("{}: {} backend servers and {} instances in {}\n", plan.name, out.inventory["backend_servers"].size(),
             instances.size(), directory);
  return 0;
}

}  // namespace
}  // namespace limpetrouter::tests::standins

int main(int argc, char** argv) {
  namespace standins = limpetrouter::tests::standins;
  return standins::RunAndReportErrors("generate_deployment", [&] { return standins::Run(argc, argv); });
}
