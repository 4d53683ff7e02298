/**
 * @file object_commands.h
 * Commands that list, show and change templates, teams, backend servers and
 * services.
 */
#ifndef CTL_OBJECT_COMMANDS_H
#define CTL_OBJECT_COMMANDS_H

#include "ctl/ctl.h"

enum ctl_exit template_list_run(struct ctl *ctl, int argc, char **argv);
enum ctl_exit template_show_run(struct ctl *ctl, int argc, char **argv);
enum ctl_exit template_publish_run(struct ctl *ctl, int argc, char **argv);
enum ctl_exit template_remove_run(struct ctl *ctl, int argc, char **argv);

enum ctl_exit team_list_run(struct ctl *ctl, int argc, char **argv);
enum ctl_exit team_show_run(struct ctl *ctl, int argc, char **argv);
enum ctl_exit team_publish_run(struct ctl *ctl, int argc, char **argv);
enum ctl_exit team_create_run(struct ctl *ctl, int argc, char **argv);
enum ctl_exit team_remove_run(struct ctl *ctl, int argc, char **argv);
enum ctl_exit team_add_key_run(struct ctl *ctl, int argc, char **argv);
enum ctl_exit team_drop_key_run(struct ctl *ctl, int argc, char **argv);

enum ctl_exit server_list_run(struct ctl *ctl, int argc, char **argv);
enum ctl_exit server_show_run(struct ctl *ctl, int argc, char **argv);
enum ctl_exit server_publish_run(struct ctl *ctl, int argc, char **argv);
enum ctl_exit server_drain_run(struct ctl *ctl, int argc, char **argv);
enum ctl_exit server_undrain_run(struct ctl *ctl, int argc, char **argv);
enum ctl_exit server_remove_run(struct ctl *ctl, int argc, char **argv);

enum ctl_exit service_list_run(struct ctl *ctl, int argc, char **argv);
enum ctl_exit service_show_run(struct ctl *ctl, int argc, char **argv);
enum ctl_exit service_remove_run(struct ctl *ctl, int argc, char **argv);

#endif
