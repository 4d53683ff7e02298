/**
 * @file config_codec.h
 * Packs and unpacks the fields of configuration objects as MessagePack. The
 * unpacking functions check all size limits. An object's name is stored next
 * to its packed fields, not in them.
 */
#ifndef STATE_CONFIG_CODEC_H
#define STATE_CONFIG_CODEC_H

#include <msgpack.h>

#include "state/config_object.h"

void config_pack_template(msgpack_packer *packer,
			  const struct tgw_template *template);
void config_pack_team(msgpack_packer *packer, const struct tgw_team *team,
		      const struct config_parameters *parameters);
void config_pack_server(msgpack_packer *packer,
			const struct tgw_server *server);
void config_pack_service(msgpack_packer *packer,
			 const struct tgw_service *service);

enum tgw_status config_unpack_template(struct tgw_template *template,
				       const msgpack_object *object,
				       struct tgw_error *error);

/** @param parameters receives new memory, or NULL when the team overrides
 * nothing */
enum tgw_status config_unpack_team(struct tgw_team *team,
				   struct config_parameters **parameters,
				   const msgpack_object *object,
				   struct tgw_error *error);

enum tgw_status config_unpack_server(struct tgw_server *server,
				     const msgpack_object *object,
				     struct tgw_error *error);

enum tgw_status config_unpack_service(struct tgw_service *service,
				      const msgpack_object *object,
				      struct tgw_error *error);

#endif
