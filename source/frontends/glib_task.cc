#include "frontends/glib_task.h"

#include <glib-unix.h>

namespace boragepick {

namespace {

using Action = std::function<void()>;

gboolean RunOnReadable(gint /*fd*/, GIOCondition /*condition*/, gpointer data) {
  (*static_cast<Action*>(data))();
  return G_SOURCE_CONTINUE;
}

gboolean RunOnce(gpointer data) {
  (*static_cast<Action*>(data))();
  return G_SOURCE_REMOVE;
}

void DeleteAction(gpointer data) {
  delete static_cast<Action*>(data);
}

void Attach(GSource* source,
            GSourceFunc function,
            Action action,
            GMainContext* context) {
  g_source_set_callback(source, function, new Action(std::move(action)),
                        DeleteAction);
  g_source_attach(source, context);
  g_source_unref(source);
}

gboolean QuitLoop(gpointer data) {
  g_main_loop_quit(static_cast<GMainLoop*>(data));
  return G_SOURCE_REMOVE;
}

}  // namespace

GlibLoop::GlibLoop()
    : m_context(g_main_context_new()),
      m_loop(g_main_loop_new(m_context, FALSE)) {}

GlibLoop::~GlibLoop() {
  g_main_loop_unref(m_loop);
  g_main_context_unref(m_context);
}

void GlibLoop::WatchFd(int fd, std::function<void()> on_readable) {
  GSource* source = g_unix_fd_source_new(fd, G_IO_IN);
  Attach(source, G_SOURCE_FUNC(RunOnReadable), std::move(on_readable),
         m_context);
}

void GlibLoop::Run() {
  g_main_loop_run(m_loop);
}

void GlibLoop::Quit() {
  // g_main_loop_quit() has no effect before the loop runs, so it is called from
  // a source that is dispatched when the loop does.
  GSource* source = g_idle_source_new();
  g_source_set_callback(source, QuitLoop, m_loop, nullptr);
  g_source_attach(source, m_context);
  g_source_unref(source);
}

void GlibLoop::RunAfter(unsigned delay_ms, std::function<void()> action) {
  Attach(g_timeout_source_new(delay_ms), RunOnce, std::move(action), m_context);
}

}  // namespace boragepick
