// Types of the parts of undici that are imported by deep path.
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
