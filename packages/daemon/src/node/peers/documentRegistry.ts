/**
 * Documents other than the configuration that daemons exchange. Sources register
 * here; their documents are then announced, fetched and pushed with heartbeats.
 */
import type { DemandReport, DocumentVersion } from '@umberspar/steering/common/membership/memberFacts'
import type { Heartbeat, PeerDocument } from '@umberspar/steering/common/ports/peers'

/** Provides and accepts the documents of certain names. */
export interface IDocumentSource {
  /** @returns the documents that this node announces */
  list(): readonly DocumentVersion[]
  /** @returns the document, or undefined if this node has none with this name */
  get(name: string): PeerDocument | undefined
  /** @returns whether a peer's document should be fetched */
  shouldFetch(remote: DocumentVersion): boolean
  /** @returns whether the local document should be pushed to a peer that has the remote one, or none */
  shouldPush(local: DocumentVersion, remote: DocumentVersion | undefined): boolean
  /** Accepts a document from a peer; an invalid or older one is ignored. */
  apply(document: PeerDocument, source: string): void
}

/** Adds measurements to heartbeats and receives those of peers. */
export interface IDigestObserver {
  /** @returns this node's demand for its heartbeat */
  listDemand(): readonly DemandReport[]
  /** Records a peer's heartbeat. */
  observe(digest: Heartbeat): void
}

/** Holds all sources and observers of a daemon. */
export class DocumentRegistry {
  private readonly sources: IDocumentSource[] = []
  private readonly observers: IDigestObserver[] = []

  /** @param source its documents are exchanged from now on */
  addSource (source: IDocumentSource): void {
    this.sources.push(source)
  }

  /** @param observer receives heartbeats from now on */
  addObserver (observer: IDigestObserver): void {
    this.observers.push(observer)
  }

  /** @returns all announced documents */
  list (): DocumentVersion[] {
    return this.sources.flatMap((source) => source.list())
  }

  /** @returns this node's demand */
  listDemand (): DemandReport[] {
    return this.observers.flatMap((observer) => observer.listDemand())
  }

  /** @param digest a peer's heartbeat */
  observe (digest: Heartbeat): void {
    for (const observer of this.observers) observer.observe(digest)
  }

  /**
   * @param name a document's name
   * @returns the document, or undefined
   */
  get (name: string): PeerDocument | undefined {
    for (const source of this.sources) {
      const document = source.get(name)
      if (document !== undefined) return document
    }
    return undefined
  }

  /**
   * @param digest a peer's heartbeat
   * @returns names and local versions of the documents to fetch from the peer
   */
  listDocumentsToFetch (digest: Heartbeat): Array<{ readonly name: string, readonly aboveVersion: number }> {
    return digest.documents
      .filter((remote) => this.sources.some((source) => source.shouldFetch(remote)))
      .map(({ name }) => ({ name, aboveVersion: this.get(name)?.document.version ?? 0 }))
  }

  /**
   * @param digest a peer's heartbeat
   * @returns documents to push to the peer because it has none or an older version
   */
  listDocumentsToPush (digest: Heartbeat): PeerDocument[] {
    const remoteByName = new Map(digest.documents.map((document) => [document.name, document]))
    return this.sources.flatMap((source) => source.list()
      .filter((local) => source.shouldPush(local, remoteByName.get(local.name)))
      .flatMap(({ name }) => source.get(name) ?? []))
  }

  /**
   * @param document a document from a peer
   * @param source the peer, for the log
   * @returns this node's version of the document afterwards, 0 if it has none
   */
  apply (document: PeerDocument, source: string): number {
    for (const documentSource of this.sources) documentSource.apply(document, source)
    return this.get(document.document.name)?.document.version ?? 0
  }
}
