import assert from 'node:assert/strict'
import { writeFile } from 'node:fs/promises'
import { afterEach, test } from 'node:test'
import { CloseStack } from '@umberspar/base/common/closing'
import { createDeadline } from '@umberspar/base/common/deadline'
import { NULL_LOGGER } from '@umberspar/base/common/logger'
import { SystemClock } from '@umberspar/base/node/systemClock'
import { PeerClient } from '@umberspar/adapters/node/peers/peerClient'
import { PeerServer } from '@umberspar/adapters/node/peers/peerServer'
import { TlsCertificateProvider } from '@umberspar/adapters/node/tls/tlsCertificateProvider'
import { createChannelSecurity, createServerCredentials } from '@umberspar/adapters/node/tls/tlsOptions'
import type { Heartbeat, IPeerService } from '@umberspar/steering/common/ports/peers'
import { NodeState } from '@umberspar/steering/common/state/nodeState'
import { CertificateFiles, TestAuthority } from '../../../src/node/tls/testCertificates.js'

const HOST = '127.0.0.1'
const CALL_WITHIN_MS = 5000
const clock = new SystemClock()
const digest: Heartbeat = { nodeId: 'a', region: 'r', failureDomain: 'f', incarnation: 1, beat: 1, members: [], confirmedAt: undefined, state: NodeState.Live, documents: [], workers: [], demand: [] }
let closing = new CloseStack()

afterEach(async () => {
  await closing.close()
  closing = new CloseStack()
})

const service: IPeerService = {
  exchange: (received) => ({ ...received, nodeId: 'answered' }),
  fetch: () => undefined,
  push: async () => 0,
  borrow: (request) => ({ loanId: request.loanId, slots: 0, connections: 0, deadline: request.deadline }),
  returnLoan: () => {}
}

interface Party {
  readonly files: CertificateFiles
  readonly certificateProvider: TlsCertificateProvider
}

async function createParty (authority: TestAuthority, name: string, addresses: readonly string[] = [HOST], serverName?: string): Promise<Party> {
  const files = closing.add(await CertificateFiles.write(await authority.createKey({ name, addresses }), authority))
  const loaded = await TlsCertificateProvider.load({ section: 'peers.tls', files, serverName, clock, logger: NULL_LOGGER })
  assert.ok(loaded.ok)
  return { files, certificateProvider: closing.add(loaded.val) }
}

async function startServer (certificateProvider: TlsCertificateProvider): Promise<string> {
  const server = closing.add(new PeerServer({ address: `${HOST}:0`, service, clock, logger: NULL_LOGGER, credentials: createServerCredentials(certificateProvider) }))
  const port = await server.listen()
  assert.ok(port.ok)
  return `${HOST}:${port.val}`
}

function createClient (certificateProvider?: TlsCertificateProvider): PeerClient {
  return closing.add(new PeerClient({ clock, ...(certificateProvider === undefined ? {} : { security: createChannelSecurity(certificateProvider) }) }))
}

async function canReach (client: PeerClient, address: string): Promise<boolean> {
  const answer = await client.exchange(address, digest, createDeadline(clock.now(), CALL_WITHIN_MS))
  return answer.ok && answer.val.nodeId === 'answered'
}

// A stranger on the network of the entry VMs opens the peers' port and says that
// it is a member; believed, it could hand out a configuration of its own.
test('only a holder of a certificate of the deployment\'s CA speaks to a peer, and only to a real one', async () => {
  const authority = await TestAuthority.create('deployment')
  const stranger = await TestAuthority.create('stranger')
  const address = await startServer((await createParty(authority, 'server')).certificateProvider)
  assert.equal(await canReach(createClient((await createParty(authority, 'member')).certificateProvider), address), true)
  assert.equal(await canReach(createClient(), address), false)
  const foreign = await createParty(stranger, 'foreign')
  assert.equal(await canReach(createClient(foreign.certificateProvider), address), false)
  // It trusts the right CA but holds a certificate of another one.
  await foreign.files.update(await stranger.createKey({ name: 'foreign' }), authority)
  await foreign.certificateProvider.renew()
  assert.equal(await canReach(createClient(foreign.certificateProvider), address), false)
  const elsewhere = await startServer((await createParty(authority, 'umberspard', ['10.9.9.9'])).certificateProvider)
  assert.equal(await canReach(createClient((await createParty(authority, 'member')).certificateProvider), elsewhere), false)
  assert.equal(await canReach(createClient((await createParty(authority, 'member', [], 'umberspard')).certificateProvider), elsewhere), true)
})

// The deployment's CA is replaced while daemons run: first both CAs are trusted,
// then new certificates are handed out, then the old CA is dropped.
test('a renewed certificate and a renewed CA are in force for new connections without a restart', async () => {
  const oldAuthority = await TestAuthority.create('old')
  const newAuthority = await TestAuthority.create('new')
  const server = await createParty(oldAuthority, 'server')
  const address = await startServer(server.certificateProvider)
  const oldMember = await createParty(oldAuthority, 'member')
  const newMember = await createParty(newAuthority, 'member')
  assert.equal(await canReach(createClient(oldMember.certificateProvider), address), true)
  assert.equal(await canReach(createClient(newMember.certificateProvider), address), false)
  await writeFile(server.files.ca, oldAuthority.certificate + newAuthority.certificate)
  assert.equal(await server.certificateProvider.renew(), true)
  await newMember.files.update(await newAuthority.createKey({ name: 'member' }), oldAuthority)
  assert.equal(await newMember.certificateProvider.renew(), true)
  assert.equal(await canReach(createClient(oldMember.certificateProvider), address), true)
  assert.equal(await canReach(createClient(newMember.certificateProvider), address), true)
  await newMember.files.update(await newAuthority.createKey({ name: 'member' }), newAuthority)
  assert.equal(await newMember.certificateProvider.renew(), true)
  await server.files.update(await newAuthority.createKey({ name: 'server', addresses: [HOST] }), newAuthority)
  assert.equal(await server.certificateProvider.renew(), true)
  assert.equal(await canReach(createClient(newMember.certificateProvider), address), true)
  assert.equal(await canReach(createClient(oldMember.certificateProvider), address), false)
  await oldMember.files.update(await newAuthority.createKey({ name: 'member' }), newAuthority)
  assert.equal(await oldMember.certificateProvider.renew(), true)
  assert.equal(await canReach(createClient(oldMember.certificateProvider), address), true)
})
