import fastify, { type FastifyInstance } from 'fastify'

/**
 * Longer than the idle timeout of the adapters' connections, so that it is always the client that closes an idle
 * connection. If the server did, a request sent at that moment would fail.
 */
const KEEP_ALIVE_TIMEOUT_MS = 60_000

/** Larger than the largest object that the adapters write. */
const MAX_BODY_BYTES = 80 * 1024 * 1024

/** Creates the HTTP server of a stand-in. Validation neither converts values nor removes unknown fields. */
export function createApp (): FastifyInstance {
  const app = fastify({
    keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
    bodyLimit: MAX_BODY_BYTES,
    forceCloseConnections: true,
    routerOptions: { maxParamLength: 4096 },
    ajv: { customOptions: { coerceTypes: false, removeAdditional: false, useDefaults: false } }
  })
  app.removeAllContentTypeParsers()
  app.addContentTypeParser('application/json', { parseAs: 'string' }, (_request, body, done) => {
    try {
      done(null, JSON.parse(body as string))
    } catch (error) {
      done(Object.assign(error as Error, { statusCode: 400 }))
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
