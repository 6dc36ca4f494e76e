/**
 * Option `schemaController` of the entry's HTTP servers. No route has a schema, since headers and bodies are checked by
 * their own parsers; without this option, fastify loads two validators and a serializer at each start. The build leaves
 * them out of the bundle.
 */
export const NO_SCHEMA_COMPILERS = {
  compilersFactory: { buildValidator: refuseSchemas, buildSerializer: refuseSchemas }
}

function refuseSchemas (): never {
  throw new Error('routes of the entry have no schemas')
}
