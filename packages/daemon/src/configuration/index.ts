export { ConfigurationStore } from './ConfigurationStore.ts'
export { ConfigurationUpdater } from './ConfigurationUpdater.ts'
export { getManifest, putManifest } from './_lib/manifestObjects.ts'
