#include "pool/run_plan.h"

#include <catch2/catch.hpp>

namespace valvekeel::pool {
namespace {

/// @return the first words of the plan's commands, with a "|" after each that is followed by a
/// Sync.
std::string Texts(const RunPlan& plan) {
  std::string texts;
  for (const backend::Command& command : plan.commands) {
    const std::string& text = command.statement->text;
    texts += text.substr(0, text.find_first_of(" (")) + (command.sync_after ? "| " : " ");
  }
  return texts;
}

BatchRequest Request(std::vector<std::string> texts) {
  BatchRequest request;
  request.request_id = "id";
  for (std::string& text : texts) {
    request.statements.push_back(TextStatement(std::move(text)));
  }
  return request;
}

}  // namespace

TEST_CASE("A batch runs in one implicit transaction and is followed by a probe", "[pool]") {
  const BatchRequest request = Request({"INSERT", "UPDATE"});
  CHECK(Texts(BuildRunPlan(request, {})) == "INSERT UPDATE| SELECT| ");
  CHECK(Texts(BuildRunPlan(request, {false, true, false})) == "SELECT| INSERT UPDATE| SELECT| ");
}

TEST_CASE("A request id is recorded in the transaction of its statements", "[pool]") {
  const RunPlan wrapped = BuildRunPlan(Request({"UPDATE"}), {false, false, true});
  CHECK(wrapped.commands.size() == 5);
  CHECK(wrapped.request_record == 1U);
  CHECK(wrapped.caller_statements == std::vector<std::size_t>{2});
  CHECK(wrapped.added_commit == 3U);

  const BatchRequest open = Request({"UPDATE"});
  CHECK(Texts(BuildRunPlan(open, {true, false, true})) == "INSERT UPDATE| SELECT| ");

  BatchRequest opening = Request({"BEGIN", "UPDATE"});
  opening.opens_transaction = true;
  CHECK(Texts(BuildRunPlan(opening, {false, false, true})) == "BEGIN INSERT UPDATE| SELECT| ");
}

}  // namespace valvekeel::pool
