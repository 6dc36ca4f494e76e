// Types of undici modules that are imported from internal paths.
declare module 'undici/lib/dispatcher/client.js' {
  import type { Client } from 'undici'
  const client: typeof Client
  export default client
}

declare module 'undici/lib/api/api-request.js' {
  import type { Dispatcher } from 'undici'
  /** Called with a dispatcher as `this`. */
  const request: (
    this: Pick<Dispatcher, 'dispatch'>, options: Dispatcher.RequestOptions
  ) => Promise<Dispatcher.ResponseData>
  export default request
}
