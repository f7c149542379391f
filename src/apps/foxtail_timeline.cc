#include <tclap/CmdLine.h>

#include <fstream>
#include <iostream>

#include "apps/program.h"
#include "timeline/timeline.h"

namespace foxtail {
namespace {

int PrintTimeline(const std::vector<std::string>& files,
                  const TimelineFilter& filter) {
  std::vector<TimelineEvent> events;
  size_t skipped_lines = 0;
  for (const std::string& path : files) {
    std::ifstream file(path);
    if (!file) {
      throw Error(ErrorCode::kSettingInvalid,
                  "FILE = '" + path + "'; allowed: a readable event log");
    }
    skipped_lines += ReadEvents(file, events);
  }
  OrderEvents(events);
  for (const TimelineEvent& event : events) {
    if (Matches(filter, event)) {
      std::cout << FormatEvent(event, events.front().m_corrected_at) << "\n";
    }
  }
  if (skipped_lines > 0) {
    std::cerr << skipped_lines << " lines were no events\n";
  }
  return kExitDone;
}

int Run(int argc, char** argv) {
  TCLAP::CmdLine command_line(
      "merges the numbered events of all processes into one time line", ' ', "",
      true);
  command_line.setExceptionHandling(false);
  TCLAP::MultiArg<int> numbers("", "number", "show only this event number",
                               false, "number", command_line);
  TCLAP::ValueArg<std::string> value(
      "", "about",
      "show only events with this field value: a request id, plan, key's "
      "partition, cell or server",
      false, "", "value", command_line);
  TCLAP::ValueArg<std::string> process("", "process",
                                       "show only events of this process",
                                       false, "", "name", command_line);
  TCLAP::UnlabeledMultiArg<std::string> files("files", "event logs", true,
                                              "FILE", command_line);
  try {
    command_line.parse(argc, argv);
    TimelineFilter filter;
    filter.m_numbers = {numbers.getValue().begin(), numbers.getValue().end()};
    filter.m_field_value = value.getValue();
    filter.m_process = process.getValue();
    return PrintTimeline(files.getValue(), filter);
  } catch (const TCLAP::ExitException& help) {
    return help.getExitStatus();
  } catch (const TCLAP::ArgException& failure) {
    std::cerr << "foxtail-timeline: " << failure.argId() << " "
              << failure.error() << "\n";
  } catch (const Error& error) {
    std::cerr << "foxtail-timeline: " << error.what() << "\n";
  }
  return kExitSettings;
}

}  // namespace
}  // namespace foxtail

int main(int argc, char** argv) {
  return foxtail::Run(argc, argv);
}
