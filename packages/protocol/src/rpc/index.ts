export { RpcClient } from './RpcClient.ts'
export { RpcServer, type RpcFault, type RpcHandlers } from './RpcServer.ts'
