import fastify, { type FastifyInstance } from 'fastify'

/** Above the idle time of the adapters' connections, so that the client is always the one that closes. */
const KEEP_ALIVE_MS = 60_000

/** Above the largest object of the adapters. */
const BODY_LIMIT = 80 * 1024 * 1024

/** Makes the HTTP server of a stand-in. Bodies are checked as they are, without conversions or removed fields. */
export function createApp (): FastifyInstance {
  const app = fastify({
    keepAliveTimeout: KEEP_ALIVE_MS,
    bodyLimit: BODY_LIMIT,
    forceCloseConnections: true,
    routerOptions: { maxParamLength: 4096 },
    ajv: { customOptions: { coerceTypes: false, removeAdditional: false, useDefaults: false } }
  })
  app.removeAllContentTypeParsers()
  app.addContentTypeParser('application/json', { parseAs: 'string' }, (_request, body, parsed) => {
    try {
      parsed(null, JSON.parse(body as string))
    } catch (error) {
      parsed(Object.assign(error as Error, { statusCode: 400 }))
    }
  })
  app.addContentTypeParser('*', { parseAs: 'buffer' }, (_request, body, parsed) => parsed(null, body))
  app.setErrorHandler((error: Error & { statusCode?: number }, _request, reply) => {
    const statusCode = error.statusCode ?? 500
    const certainty = statusCode < 500 ? 'not-done' : 'unknown'
    return reply.code(statusCode).send({ certainty, reason: 'invalid', message: error.message })
  })
  return app
}
